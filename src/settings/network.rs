use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Addresses of platform services, and intervals and timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Network {
    /// Maximum time until an order to an engine takes effect; also the timeout of an order.
    pub controller_delay: Duration,
    /// Duration of the controller lease of a domain.
    pub controller_lease: Duration,
    /// Interval between heartbeats to the same peer.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a peer counts as dead.
    pub lease: Duration,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Interval between reads of the instance list.
    pub list_interval: Duration,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Safety margin: an owner stops this long before its peers consider its lease expired.
    pub margin: Duration,
    /// Gap between two ticks above which the process counts as having been paused.
    pub pause: Duration,
    /// Interval between checks of the streams and handles of an owned target.
    pub reap: Duration,
    /// Maximum time without a token within a stream.
    pub stall: Duration,
    /// Address of the weight store, if any. The daemon does not use it: engines read the weights themselves.
    pub store: Option<SocketAddr>,
    /// Time without a heartbeat after which a peer is no longer required to echo heartbeats.
    pub suspicion: Duration,
}

impl Default for Network {
    fn default() -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            controller_delay: Duration::from_secs(5),
            controller_lease: Duration::from_secs(10),
            heartbeat: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            list: unspecified,
            list_interval: Duration::from_secs(1),
            log: unspecified,
            margin: Duration::from_millis(500),
            pause: Duration::from_secs(1),
            reap: Duration::from_secs(2),
            stall: Duration::from_secs(10),
            store: None,
            suspicion: Duration::from_millis(1500),
        }
    }
}
