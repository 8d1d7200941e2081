//! Closed list of error kinds and the table from kind to answer.

mod kind;

use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;

pub use kind::Executed;
pub use kind::Kind;

/// Time after which a repeat may have a chance if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// An error with what the caller has to know about it.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A request or an operation failed.
        Failed(kind: Kind, message: String, retry_after: Option<Duration>) {
            display("{}: {message}", kind.name())
        }
    }
}

/// Shape of an error answer: `{"error":{"kind","message","executed","retry_after_ms"}}`.
#[derive(Clone, Debug, Serialize)]
pub struct Answer {
    error: Body,
}

#[derive(Clone, Debug, Serialize)]
struct Body {
    executed: Executed,
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Error {
    /// Makes an error of `kind`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Error::Failed(kind, message.into(), None)
    }

    /// The same failure of a request that an earlier attempt may have run, so that it is not reported as not run.
    pub fn after_attempt(self) -> Self {
        let kind = match (self.kind(), self.kind().executed()) {
            (_, Executed::Unknown) => return self,
            (Kind::DeadlineRefused, Executed::No) => Kind::DeadlineExceeded,
            (_, Executed::No) => Kind::UpstreamFailed,
        };
        Error::new(kind, self.message())
    }

    /// Adds the time after which a repeat has a chance.
    pub fn with_retry_after(self, after: Duration) -> Self {
        let Error::Failed(kind, message, _) = self;
        Error::Failed(kind, message, Some(after))
    }

    /// The answer's body.
    pub fn answer(&self) -> Answer {
        let kind = self.kind();
        Answer {
            error: Body {
                executed: kind.executed(),
                kind: kind.name(),
                message: self.message().to_owned(),
                retry_after_ms: self.retry_after().map(|after| after.as_millis() as u64),
            },
        }
    }

    /// The kind of the error.
    pub fn kind(&self) -> Kind {
        let Error::Failed(kind, ..) = self;
        *kind
    }

    /// The message without the kind.
    pub fn message(&self) -> &str {
        let Error::Failed(_, message, _) = self;
        message
    }

    /// The message for logs; empty if messages of the kind quote what the caller sent.
    pub fn log_message(&self) -> &str {
        match self.kind() {
            Kind::BadRequest | Kind::Forbidden => "",
            _ => self.message(),
        }
    }

    /// Time after which a repeat may have a chance; given for each retriable kind.
    pub fn retry_after(&self) -> Option<Duration> {
        let Error::Failed(kind, _, after) = self;
        after.or(kind.retriable().then_some(RETRY_AFTER))
    }
}
