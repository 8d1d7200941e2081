use std::time::Duration;

use super::Guards;

/// Times and rates of the controller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Maximum number of loads that may start at once, after a time without loads.
    pub burst: u32,
    /// Longest time from the check before an order until the order takes effect. The daemon uses it as timeout of
    /// orders.
    pub delay: Duration,
    /// Guards, all on by default; they are switched off for verification only.
    pub guards: Guards,
    /// Average time between two loads, from the rate limit of the weight store.
    pub interval: Duration,
    /// Duration of the controller lease.
    pub lease: Duration,
    /// How long before its lease expires the holder stops.
    pub margin: Duration,
    /// Time between two ticks above which the process counts as paused.
    pub pause: Duration,
    /// Interval at which a target that has loaded what is planned is read again.
    pub refresh: Duration,
    /// Minimum time between two attempts to read a target.
    pub retry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            burst: 2,
            delay: Duration::from_secs(5),
            guards: Guards::default(),
            interval: Duration::from_secs(2),
            lease: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            pause: Duration::from_secs(1),
            refresh: Duration::from_secs(10),
            retry: Duration::from_secs(1),
        }
    }
}
