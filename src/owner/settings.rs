use std::time::Duration;

use super::Guards;

/// Times of the ownership protocol.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Guards, all on by default; they are switched off for verification only.
    pub guards: Guards,
    /// Time without a heartbeat after which a peer counts as dead, and length of the quarantine after a start.
    pub lease: Duration,
    /// How long before its peers count it as dead an owner stops.
    pub margin: Duration,
    /// Time between two ticks above which the process counts as paused.
    pub pause: Duration,
    /// Interval at which an unanswered request for grants is repeated.
    pub resend: Duration,
    /// Time without a heartbeat after which an owner no longer needs echoes from a peer; at least two heartbeat
    /// intervals.
    pub suspicion: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            guards: Guards::default(),
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(500),
            pause: Duration::from_secs(1),
            resend: Duration::from_millis(250),
            suspicion: Duration::from_millis(1500),
        }
    }
}
