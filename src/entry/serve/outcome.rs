use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::InFlight;
use crate::entry::platform::{Body, Failure};
use crate::entry::{Answer, Content, Events, Target};
use crate::error::Kind;

/// Why a request failed, and the last answer of a target, if any.
pub(in crate::entry) struct GivenUp {
    pub(super) answered: Option<Buffered>,
    pub(super) kind: Kind,
    pub(super) retry: Option<Duration>,
}

/// A stream whose first events have arrived.
pub(in crate::entry) struct Opened {
    pub(in crate::entry) body: Box<dyn Body>,
    pub(in crate::entry) events: Events,
    pub(in crate::entry) first: Bytes,
    pub(in crate::entry) headers: HeaderMap,
    pub(in crate::entry) in_flight: InFlight,
    pub(in crate::entry) status: StatusCode,
    pub(in crate::entry) target: Rc<Target>,
}

/// Outcome of one send.
pub(super) enum Outcome {
    /// A complete answer: an error status, or any answer outside of streams.
    Answered(Buffered),
    /// No valid answer.
    Failed(Failure),
    /// Memory at helpers could not be reserved; nothing was sent.
    NoMemory,
    /// The target did not run the request; it may name another target as the cause.
    NotRun(Option<String>),
    Opened(Box<Opened>),
}

impl Outcome {
    /// Whether the target may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Outcome::Answered(_) | Outcome::Opened(_) => true,
            Outcome::Failed(failure) => failure.may_have_run(),
            Outcome::NoMemory | Outcome::NotRun(_) => false,
        }
    }
}

/// A complete answer of a target.
pub(in crate::entry) struct Buffered {
    pub(super) body: Bytes,
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
}

impl Buffered {
    /// The answer to a caller that may stop reading for this time.
    pub(super) fn into_answer(self, max_pause: Duration) -> Answer {
        Answer::Reply {
            content: Content::Buffered(self.body),
            headers: self.headers,
            max_pause,
            status: self.status,
        }
    }
}
