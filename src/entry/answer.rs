use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::Relay;
use crate::error::Kind;

/// Body of a target's answer.
pub enum Content {
    /// A stream, forwarded event by event as it arrives.
    Streamed(Box<Relay>),
    /// A body that was read to its end first.
    Buffered(Bytes),
}

/// The answer to a caller.
pub enum Answer {
    /// An error that this instance reports.
    Refusal {
        /// Kind of the error; determines the status.
        kind: Kind,
        /// Time after which the caller may retry.
        retry: Option<Duration>,
    },
    /// The answer of a target.
    Reply {
        /// Body.
        content: Content,
        /// Headers.
        headers: HeaderMap,
        /// Time for which the caller may stop reading.
        max_pause: Duration,
        /// Status.
        status: StatusCode,
    },
}
