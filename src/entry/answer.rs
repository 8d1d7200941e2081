use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::Relay;
use crate::error::Kind;

/// Body of an answer that a target gave.
pub enum Content {
    /// A body that passes as it arrives.
    Streamed(Box<Relay>),
    /// A body that was read whole.
    Buffered(Bytes),
}

/// What the caller gets.
pub enum Answer {
    /// An error of this instance.
    Refusal {
        /// What is wrong; gives the status.
        kind: Kind,
        /// When the caller may come back.
        retry: Option<Duration>,
    },
    /// A target's answer.
    Reply {
        /// Body.
        content: Content,
        /// Headers.
        headers: HeaderMap,
        /// Status.
        status: StatusCode,
    },
}
