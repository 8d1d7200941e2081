use crate::error;
use crate::id::Tokens;

/// What the instance that runs a [`Coordinator`](super::Coordinator) must do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Start decoding on the last engine, with the handles of all parts.
    Decode,
    /// Answer the caller with an error of this kind, unless the caller has left.
    Fail {
        /// The kind.
        kind: error::Kind,
    },
    /// Ask the owner of a part's target to hold its memory.
    Hold {
        /// Index of the part.
        part: usize,
    },
    /// Prefill prompt tokens `[from, to)` on the engine of a part. The first chunk of a part imports the handles of the
    /// parts before it.
    Prefill {
        /// Index of the part.
        part: usize,
        /// First token.
        from: Tokens,
        /// End, exclusive.
        to: Tokens,
    },
    /// Release the hold and the handle of a part. Returned exactly once for each `Hold`, unless the hold was refused.
    Release {
        /// Index of the part.
        part: usize,
    },
    /// Renew the hold of a part, and report `Renewed` or `Failed`.
    Renew {
        /// Index of the part.
        part: usize,
    },
}
