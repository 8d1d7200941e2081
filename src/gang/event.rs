use crate::id::Tokens;

/// What the coordinator of a gang is told.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A request to an owner or an engine failed, or the hold was not there to be renewed.
    Failed {
        /// Index of the part.
        part: usize,
    },
    /// The last engine sent its last token.
    Finished,
    /// The owner holds the memory.
    Held {
        /// Index of the part.
        part: usize,
    },
    /// The caller left.
    CallerLeft,
    /// A chunk is prefilled.
    Prefilled {
        /// Index of the part.
        part: usize,
        /// Size of the chunk.
        tokens: Tokens,
    },
    /// The owner does not hold the memory.
    Refused {
        /// Index of the part.
        part: usize,
    },
    /// The owner renewed the hold.
    Renewed {
        /// Index of the part.
        part: usize,
    },
}
