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
    /// Factor of what a cold target tolerates that all instances together may send.
    pub cold_overage: f64,
    /// Requests a second that all instances may send to a cold target besides.
    pub cold_slack: f64,
    /// Failure domain.
    pub domain: DomainId,
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
            cold_overage: 1.5,
            cold_slack: 5.0,
            domain: "local".into(),
            instance: "local-1".into(),
            ip: IpAddr::from([127, 0, 0, 1]),
            peer_port: 7340,
            seeds: Vec::new(),
        }
    }
}

impl Settings {
    /// Requests a second that all instances together may send to a cold target that tolerates `per_s`.
    pub fn cold_bound(&self, per_s: f64) -> f64 {
        per_s * self.cold_overage + self.cold_slack
    }

    /// Address for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
