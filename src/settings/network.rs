use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Addresses of the platform and times between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Network {
    /// Longest time in which an order to an engine takes effect; the timeout of an order.
    pub controller_delay: Duration,
    /// Duration of the lease of a domain's controller.
    pub controller_lease: Duration,
    /// Time between two heartbeats to the same peer.
    pub heartbeat: Duration,
    /// Time after which a silent peer counts as dead.
    pub lease: Duration,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Time between two reads of the instance list.
    pub list_interval: Duration,
    /// Address of the log service.
    pub log: SocketAddr,
    /// By how much an owner stops before its lease ends for others.
    pub margin: Duration,
    /// Gap between two ticks that counts as a pause of the process.
    pub pause: Duration,
    /// Time between two readings of the streams and handles of an owned target.
    pub reap: Duration,
    /// Longest time without a token within a stream.
    pub stall: Duration,
    /// Address of the weight store, if loads are to be ordered.
    pub store: Option<SocketAddr>,
    /// Time after which a silent peer need not echo heartbeats any more.
    pub suspicion: Duration,
}

impl Default for Network {
    fn default() -> Self {
        let none = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            controller_delay: Duration::from_secs(5),
            controller_lease: Duration::from_secs(10),
            heartbeat: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            list: none,
            list_interval: Duration::from_secs(1),
            log: none,
            margin: Duration::from_millis(500),
            pause: Duration::from_secs(1),
            reap: Duration::from_secs(2),
            stall: Duration::from_secs(10),
            store: None,
            suspicion: Duration::from_millis(1500),
        }
    }
}
