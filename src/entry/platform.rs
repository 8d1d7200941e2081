//! Traits through which the core reaches targets and the log, and the types that cross them.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::{Config, Record, Request, Target};
use crate::id::{DomainId, Offset, WorkspaceId};

/// A future that stays on its thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why no answer, or only a part of it, came from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection broke, or the answer was malformed; the request may have run.
    Broken,
    /// Nothing came in time; the request may have run.
    Silent,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// A connection was there, but not one byte of the request was written.
    Unsent,
}

impl Failure {
    /// Whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        match self {
            Failure::Broken | Failure::Silent => true,
            Failure::Unreachable | Failure::Unsent => false,
        }
    }

    /// Name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Failure::Broken => "broken",
            Failure::Silent => "silent",
            Failure::Unreachable => "unreachable",
            Failure::Unsent => "unsent",
        }
    }
}

impl std::error::Error for Failure {}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// A request on its way to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// Time left for the target.
    pub deadline: Duration,
    /// Engines that read parts of the prompt, with the ticket of the memory that is set aside there, if any.
    pub helpers: Vec<(SocketAddr, Option<String>)>,
    /// Urgency; 0 is first.
    pub priority: u8,
    /// The caller's request.
    pub request: Rc<Request>,
    /// Id of the last event that was delivered.
    pub last_event_id: Option<u64>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
}

/// The head of a target's answer and its body.
pub struct Reply {
    /// Body, read piece by piece.
    pub body: Box<dyn Body>,
    /// Address of another target that is at fault, if it names one.
    pub fault: Option<String>,
    /// Headers to hand back unchanged.
    pub headers: HeaderMap,
    /// Whether the target says that the request was not run.
    pub not_run: bool,
    /// Id of the request that this answers, if it is named.
    pub request: Option<String>,
    /// Whether the target vouches for the answer.
    pub signed: bool,
    /// Status.
    pub status: StatusCode,
}

/// A body that arrives piece by piece.
pub trait Body {
    /// The next piece; none at the proper end.
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes, Failure>>>;
}

/// Sends to targets.
pub trait Targets {
    /// Whether a new connection to the address is accepted in time.
    fn probe(&self, address: SocketAddr) -> LocalBoxFuture<'_, bool>;

    /// Ends a reservation of memory.
    fn release<'a>(&'a self, target: &'a Target, ticket: &'a str) -> LocalBoxFuture<'a, bool>;

    /// Sets memory aside for `hold`, or holds it for that long from now on. False if the memory is not free, or if it is
    /// not known whether it was set aside.
    fn reserve<'a>(
        &'a self,
        target: &'a Target,
        ticket: &'a str,
        tokens: u32,
        hold: Duration,
    ) -> LocalBoxFuture<'a, bool>;

    /// Sends a request and waits for the head of the answer. Dropping the future or the body ends the request.
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>>;
}

/// What is followed in the log.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Instances, written by themselves.
    Instances,
    /// Configuration and evacuations, written by operators.
    Operator,
    /// Targets, written by themselves.
    Targets,
}

impl Topic {
    /// All topics; their order gives their number between instances.
    pub const ALL: [Topic; 3] = [Topic::Instances, Topic::Operator, Topic::Targets];

    /// Name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Topic::Instances => "instances",
            Topic::Operator => "operator",
            Topic::Targets => "targets",
        }
    }
}

/// Records read from the log.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Position after the last record of the log.
    pub end: Offset,
    /// The records in their order.
    pub records: Vec<Record>,
}

/// Why the log gave nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogError {
    /// The position is no longer kept; the whole state has to be read.
    Dropped,
    /// No answer, or one that cannot be read; a write may have been done.
    Lost(String),
    /// The log refused; nothing was done.
    Refused(u16),
}

/// The log that records are followed in.
pub trait Log {
    /// The newest record of every key.
    fn newest(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, LogError>>;

    /// Writes a record about this instance.
    fn put(&self, key: &str, value: &[u8]) -> LocalBoxFuture<'_, Result<(), LogError>>;

    /// Records from a position on, as soon as there is one or `wait` has passed.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>>;
}

/// What a record of the operators' topic says.
#[derive(Debug)]
pub enum Directive {
    /// The configuration, and what of it cannot be read.
    Config(Box<Config>, Vec<String>),
    /// An evacuation of a domain is in force, or not any more.
    Evacuate(DomainId, bool),
}

/// Reads the values of records.
pub trait Decoder {
    /// Reads a record of the operators' topic; none for one that this program does not know.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn directive(&self, record: &Record) -> Result<Option<Directive>, String>;

    /// Reads an entry of a target; times are counted from `now`.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn target(&self, record: &Record, now: Duration) -> Result<Target, String>;
}
