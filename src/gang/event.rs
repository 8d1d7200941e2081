use crate::id::Tokens;

/// An event that is reported to a [`Coordinator`](super::Coordinator).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The caller has left.
    CallerLeft,
    /// A request to an owner or an engine failed, or the hold to renew no longer existed.
    Failed {
        /// Index of the part.
        part: usize,
    },
    /// The last engine has sent the last token.
    Finished,
    /// The owner holds the memory of a part.
    Held {
        /// Index of the part.
        part: usize,
    },
    /// A chunk was prefilled.
    Prefilled {
        /// Index of the part.
        part: usize,
        /// Size of the chunk.
        tokens: Tokens,
    },
    /// The owner refused to hold the memory of a part.
    Refused {
        /// Index of the part.
        part: usize,
    },
    /// The owner renewed the hold of a part.
    Renewed {
        /// Index of the part.
        part: usize,
    },
}
