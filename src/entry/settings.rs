use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::id::{DomainId, InstanceId};

/// Who an instance is, and the bounds that it keeps.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Sends beyond the first of each request that all instances may add, as a share of the requests.
    pub budget_ratio: f64,
    /// Sends that all instances may add besides the share.
    pub budget_slack: f64,
    /// Window in which the two hold.
    pub budget_window: Duration,
    /// Failure domain.
    pub domain: DomainId,
    /// Time between the order to stop and the end of the process.
    pub grace: Duration,
    /// Name.
    pub instance: InstanceId,
    /// Address of this instance.
    pub ip: IpAddr,
    /// Port for datagrams and transfers between instances; the same on all instances.
    pub peer_port: u16,
    /// Addresses of some instances, which may be stale.
    pub seeds: Vec<IpAddr>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            budget_ratio: 0.2,
            budget_slack: 100.0,
            budget_window: Duration::from_secs(10),
            domain: "local".into(),
            grace: Duration::from_secs(8),
            instance: "local-1".into(),
            ip: IpAddr::from([127, 0, 0, 1]),
            peer_port: 7340,
            seeds: Vec::new(),
        }
    }
}

impl Settings {
    /// Address for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
