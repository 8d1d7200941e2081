use crate::error;

use super::{Entry, Outcome};

/// What to do for a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Answer with the recorded outcome.
    Answer {
        /// What the service answered.
        outcome: Outcome,
    },
    /// Append the entry to the log, read it back, then poll.
    Append {
        /// The claim.
        entry: Entry,
    },
    /// Run the call, with `dispatch` just before the first byte.
    Dispatch,
    /// Answer with an error of this kind.
    Refuse {
        /// The kind.
        kind: error::Kind,
    },
    /// Poll again after the next entry was read or some time has passed.
    Wait,
}
