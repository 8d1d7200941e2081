use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind};

/// Answer of one instance to another.
pub type Answer<T> = Result<T, Failure>;

/// An error as instances send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: Kind,
    /// Message for the caller.
    pub message: String,
    /// Time in milliseconds after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

impl From<&Error> for Failure {
    fn from(error: &Error) -> Self {
        Self {
            kind: error.kind(),
            message: error.message().to_owned(),
            retry_after_ms: error.retry_after().map(|after| after.as_millis() as u64),
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let error = Error::new(failure.kind, failure.message);
        match failure.retry_after_ms {
            Some(after) => error.with_retry_after(Duration::from_millis(after)),
            None => error,
        }
    }
}
