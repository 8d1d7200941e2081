use std::time::Duration;

use crate::error::Kind;

/// Why a request is not taken; it was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The kind of the error.
    pub kind: Kind,
    /// Time after which a repeat has a chance; zero for [`Kind::TooLarge`] and for a request already known.
    pub retry_after: Duration,
}
