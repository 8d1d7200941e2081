use crate::error;
use crate::id::Tokens;

/// What the coordinator of a gang has to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Start decoding on the last engine over all handles.
    Decode,
    /// Answer the caller with an error of this kind, unless the caller left.
    Fail {
        /// The kind.
        kind: error::Kind,
    },
    /// Ask the owner of a part's target to hold its memory.
    Hold {
        /// Index of the part.
        part: usize,
    },
    /// Prefill prompt tokens `[from, to)` on the engine of a part; a part's first chunk imports the handles before it.
    Prefill {
        /// Index of the part.
        part: usize,
        /// First token.
        from: Tokens,
        /// End, exclusive.
        to: Tokens,
    },
    /// Release the hold and the handle of a part. It follows each `Hold` exactly once, unless the hold was refused.
    Release {
        /// Index of the part.
        part: usize,
    },
    /// Renew the hold of a part; needs an answer, `Renewed` or `Failed`.
    Renew {
        /// Index of the part.
        part: usize,
    },
}
