//! Errors that callers see: their kinds, and the response for each kind.

mod kind;

use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;

pub use kind::Executed;
pub use kind::Kind;

/// Default delay before a retry.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// An error that is reported to the caller.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A request or operation failed.
        Failed(kind: Kind, message: String, retry_after: Option<Duration>) {
            display("{}: {message}", kind.name())
        }
    }
}

/// Body of an error response: `{"error":{"kind","message","executed","retry_after_ms"}}`.
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
    /// Creates an error of `kind`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Error::Failed(kind, message.into(), None)
    }

    /// Converts the error of a retried request to a kind whose [`Kind::executed`] is unknown, since an earlier attempt
    /// may have been executed.
    pub fn after_attempt(self) -> Self {
        let kind = match (self.kind(), self.kind().executed()) {
            (_, Executed::Unknown) => return self,
            (Kind::DeadlineRefused, Executed::No) => Kind::DeadlineExceeded,
            (_, Executed::No) => Kind::UpstreamFailed,
        };
        Error::new(kind, self.message())
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(self, after: Duration) -> Self {
        let Error::Failed(kind, message, _) = self;
        Error::Failed(kind, message, Some(after))
    }

    /// The body of the error response.
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

    /// The message for logs; empty for kinds whose messages quote input of the caller.
    pub fn log_message(&self) -> &str {
        match self.kind() {
            Kind::BadRequest | Kind::Forbidden => "",
            _ => self.message(),
        }
    }

    /// Time after which a retry may succeed; present for every retriable kind.
    pub fn retry_after(&self) -> Option<Duration> {
        let Error::Failed(kind, _, after) = self;
        after.or(kind.retriable().then_some(DEFAULT_RETRY_AFTER))
    }
}
