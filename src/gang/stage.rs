use std::time::Duration;

use crate::id::Tokens;

/// How far a gang is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Stage {
    /// The last engine decodes.
    Decoding,
    /// Everything is released.
    Ended,
    /// Nothing was asked yet.
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
pub(super) enum Lease {
    /// Asked at this time; the answer is open.
    Asked { at: Duration },
    /// Held. The latest request that the owner confirmed was sent at `confirmed`, an open renewal at `sent`. Only one
    /// renewal is open at a time, so that a late answer is not taken for that of a later renewal.
    Held {
        confirmed: Duration,
        sent: Option<Duration>,
    },
    /// Not held.
    None,
}
