use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::InFlight;
use crate::entry::platform::{Body, Failure};
use crate::entry::{Answer, Content, Events, Target};
use crate::error::Kind;

/// Why no answer can be had.
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

/// What came of one send.
pub(super) enum Outcome {
    /// A failure that the target itself answered, or a success of a plain service.
    Answered(Buffered),
    /// No answer that counts.
    Failed(Failure),
    /// Memory that the request needs at other targets was not free; nothing was sent.
    NoMemory,
    /// The target says that it did not run the request.
    NotRun(Option<String>),
    Opened(Opened),
}

/// A whole answer of a target.
pub(in crate::entry) struct Buffered {
    pub(super) body: Bytes,
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
}

impl From<Buffered> for Answer {
    fn from(whole: Buffered) -> Answer {
        Answer::Reply {
            content: Content::Buffered(whole.body),
            headers: whole.headers,
            status: whole.status,
        }
    }
}
