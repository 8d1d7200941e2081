use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::id::{DomainId, InstanceId};

/// Limits of hedged requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Share of the requests of a route that are answered in time; a request that takes longer is hedged. Raised to
    /// 1 - `ratio` if it is lower.
    pub quantile: f64,
    /// Hedges of all instances together, as a share of the requests of a service.
    pub ratio: f64,
}

/// Identity and limits of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether a long prompt that cannot be in time is refused without a wait.
    pub admits_long_prompts: bool,
    /// Time after which an acknowledged configuration has to be in force.
    pub apply_bound: Duration,
    /// Retries of all instances together, as a share of the requests.
    pub budget_ratio: f64,
    /// Retries of all instances together in addition to that share.
    pub budget_slack: f64,
    /// Window over which requests and retries are counted.
    pub budget_window: Duration,
    /// Requests of all instances together to a cold target, as a factor of what the target tolerates.
    pub cold_overage: f64,
    /// Requests per second of all instances together to a cold target in addition to that factor.
    pub cold_slack: f64,
    /// Failure domain.
    pub domain: DomainId,
    /// Time after which a target whose leaving was acknowledged must get no request.
    pub drain_bound: Duration,
    /// Hedged requests; none: no request is hedged.
    pub hedge: Option<Hedge>,
    /// Limit on the bytes that are held for callers; none if there is no limit and streams are not read ahead.
    pub held_max_bytes: Option<u64>,
    /// Limit on the unanswered bytes of request bodies at one target; none if there is none.
    pub held_target_bytes: Option<u64>,
    /// Name.
    pub instance: InstanceId,
    /// Address of this instance.
    pub ip: IpAddr,
    /// Number of known instances from which requests with short prompts need permits; none if they never do.
    pub permit_instances: Option<usize>,
    /// Port for heartbeats and transfers between instances; the same on all instances.
    pub peer_port: u16,
    /// Share of a processor core; allocators are chosen among the instances with the larger shares.
    pub processor: f64,
    /// Addresses of some instances; may be stale.
    pub seeds: Vec<IpAddr>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            admits_long_prompts: false,
            apply_bound: Duration::from_secs(2),
            budget_ratio: 0.2,
            budget_slack: 100.0,
            budget_window: Duration::from_secs(10),
            cold_overage: 1.5,
            cold_slack: 5.0,
            domain: "local".into(),
            drain_bound: Duration::from_secs(2),
            hedge: None,
            held_max_bytes: None,
            held_target_bytes: None,
            instance: "local-1".into(),
            ip: IpAddr::from([127, 0, 0, 1]),
            peer_port: 7340,
            permit_instances: None,
            processor: 1.0,
            seeds: Vec::new(),
        }
    }
}

impl Settings {
    /// Requests per second that all instances together may send to a cold target that tolerates `per_s`.
    pub fn cold_bound(&self, per_s: f64) -> f64 {
        per_s * self.cold_overage + self.cold_slack
    }

    /// Address for heartbeats and transfers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
