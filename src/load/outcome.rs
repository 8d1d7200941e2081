use std::time::Duration;

use crate::target::Class;

/// Outcome of one arrival.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Intended time of arrival since the start of the load.
    pub(super) at: Duration,
    pub(super) call: Call,
    /// Time from the intended arrival to the end of the answer.
    pub(super) total: Duration,
    pub(super) verdict: Verdict,
}

/// What was requested and how it went, as far as the report needs it.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Prompt {
        class: Class,
        first_token: Option<Duration>,
        gaps: Vec<Duration>,
        tokens: u64,
    },
    Question,
    Sale {
        key: String,
    },
}

/// Classification of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// An error that does not rule out that the request was run.
    Failed(String),
    /// Complete and correct, but after the deadline.
    Late,
    /// Complete, correct and in time.
    Ok,
    /// An error that states that the request was not run.
    Refused(String),
    /// Complete, but not the answer to this request.
    Wrong,
}
