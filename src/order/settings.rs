use std::time::Duration;

use super::Guards;

/// Times and rates of the controller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Loads that may start at once after a quiet time.
    pub burst: u32,
    /// Longest time from the check before an order until the order takes effect; the daemon's timeout of an order.
    pub delay: Duration,
    /// Guards, all on; for verification only.
    pub guards: Guards,
    /// Time between two loads, from the rate limit of the weight store.
    pub interval: Duration,
    /// Duration of the controller lease.
    pub lease: Duration,
    /// Time by which the holder stops before its lease expires.
    pub margin: Duration,
    /// Time between two ticks above which the process counts as paused.
    pub pause: Duration,
    /// Time after which a target that is as wanted is read again.
    pub refresh: Duration,
    /// Time between attempts to read a target.
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
