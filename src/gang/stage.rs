use std::time::Duration;

use crate::id::Tokens;

/// Stage of a gang.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Stage {
    /// The last engine decodes.
    Decoding,
    /// All holds are released.
    Ended,
    /// No hold has been requested.
    Idle,
    /// Waiting for the hold of a part.
    Holding { part: usize },
    /// Waiting for the chunk `[from, to)` of a part.
    Prefilling {
        from: Tokens,
        part: usize,
        to: Tokens,
    },
}

/// The hold of one part as the coordinator knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Reservation {
    /// Requested at `at`, without an answer so far.
    Requested { at: Duration },
    /// Held. The latest request that the owner confirmed was sent at `confirmed`, the unanswered renewal at `sent`.
    /// Only one renewal is unanswered at a time, so that a late answer is not taken for the answer to a later renewal.
    Held {
        confirmed: Duration,
        sent: Option<Duration>,
    },
    /// Not held.
    None,
}
