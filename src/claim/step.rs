use crate::error;

use super::{Entry, Outcome};

/// Next step of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Answer the call with the recorded outcome.
    Answer {
        /// What the service answered.
        outcome: Outcome,
    },
    /// Append the entry to the log, read it back, then poll.
    Append {
        /// The claim.
        entry: Entry,
    },
    /// Run the call, with a check by [`Ledger::dispatch`](super::Ledger::dispatch) just before the first byte.
    Dispatch,
    /// Answer the call with an error of this kind.
    Refuse {
        /// The kind.
        kind: error::Kind,
    },
    /// Poll again when the next entry has been read or some time has passed.
    Wait,
}
