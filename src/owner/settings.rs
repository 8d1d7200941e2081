use std::time::Duration;

use super::Guards;

/// Times of the ownership protocol.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Guards, all on; for verification only.
    pub guards: Guards,
    /// Silence after which a peer counts as dead, and quarantine of a new process.
    pub lease: Duration,
    /// Time by which an owner stops before its peers count it as dead.
    pub margin: Duration,
    /// Time between two ticks above which the process counts as paused.
    pub pause: Duration,
    /// Time between repeats of an unanswered request for grants.
    pub resend: Duration,
    /// Silence after which an owner needs no more echoes from a peer; at least two heartbeat intervals.
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
