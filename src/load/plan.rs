use std::net::SocketAddr;
use std::time::Duration;

use super::{Profile, Settings};

/// What a measurement does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Time between two engines that are turned cold, one after the other.
    pub cold_interval: Option<Duration>,
    /// Time for which one domain is out of service, from a third of the load on.
    pub domain_outage: Option<Duration>,
    /// Instances to load; an embedded fleet is started if there are none.
    pub entries: Vec<SocketAddr>,
    /// The embedded fleet.
    pub fleet: Settings,
    /// The arrivals.
    pub profile: Profile,
    /// Duration of an unmeasured load of short prompts before the measured one, in seconds.
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
