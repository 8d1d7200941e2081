use std::time::Duration;

use crate::error::Kind;

/// Reason why a request was refused; it was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Error kind.
    pub kind: Kind,
    /// Time after which a repeat may succeed; zero for [`Kind::TooLarge`] and for a request that is already present.
    pub retry_after: Duration,
}
