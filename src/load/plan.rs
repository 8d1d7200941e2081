use std::net::SocketAddr;
use std::time::Duration;

use super::{Profile, Settings};

/// Parameters of one measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Interval at which one engine after the other is turned cold.
    pub cold_interval: Option<Duration>,
    /// Time for which one domain is taken out of service, starting at a third of the load.
    pub domain_outage: Option<Duration>,
    /// Addresses of the instances to load; an embedded fleet is started if there are none.
    pub entries: Vec<SocketAddr>,
    /// Settings of the embedded fleet.
    pub fleet: Settings,
    /// Profile of the measured load.
    pub profile: Profile,
    /// Duration of the unmeasured load that precedes the measured one, in seconds. It has no long prompts.
    pub warm_up: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            cold_interval: None,
            domain_outage: None,
            entries: Vec::new(),
            fleet: Settings {
                engine: jujubehook_standin::engine::Settings {
                    cold: false,
                    ..jujubehook_standin::engine::Settings::default()
                },
                extra_engines: 1,
                ..Settings::default()
            },
            profile: Profile::default(),
            warm_up: 5.0,
        }
    }
}
