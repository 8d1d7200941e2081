use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::entry::{Prefill, Row, TargetKey};
use crate::id::{DomainId, Incarnation, InstanceId};

/// Maximum number of targets that a request excludes; a domain without any other one is not asked.
pub const MAX_EXCLUDED: usize = 32;

/// Maximum number of messages in one datagram.
const MAX_MESSAGES: usize = 256;

/// Maximum number of messages that are sent in one datagram: even the largest asks stay far below its maximum size.
const SENT_MESSAGES: usize = 64;

/// Maximum number of requests that one instance can run at one target: each needs a connection of its own, and one address
/// has that many ports. A plain target that stalls can get more than 10,000 from an instance, whose requests are limited
/// by its memory only.
const MAX_RUNNING: u32 = 65_535;

/// Maximum share of a processor core in thousandths: the largest number of cores that Linux supports, 8,192.
pub const MAX_PROCESSOR: u32 = 8_192_000;

/// Maximum time in a message, in milliseconds: an hour, longer than any deadline.
const MAX_TIME_MS: u32 = 3_600_000;

quick_error! {
    /// A message with a value that no instance sends.
    #[derive(Debug, Eq, PartialEq)]
    pub enum Malformed {
        /// A value is out of its range.
        Range(field: &'static str, value: u64, max: u64) {
            display("`{field}` is {value}, the maximum is {max}")
        }
    }
}

fn check(field: &'static str, value: u64, max: u64) -> Result<(), Malformed> {
    match value <= max {
        true => Ok(()),
        false => Err(Malformed::Range(field, value, max)),
    }
}

/// Asks the allocator of a domain for a slot. Times are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Number of the ask at its instance; repeated while the request waits.
    pub number: u64,
    /// Service of the route.
    pub service: String,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of context at the end of the answer.
    pub tokens: u32,
    /// Objective for the gap between events.
    pub gap_ms: u32,
    /// Time until the first event misses its objective.
    pub objective_ms: u32,
    /// Time until the caller disconnects.
    pub left_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Hash of the workspace's name; 0 without one.
    pub workspace: u32,
    /// Whether the caller already has events of the stream.
    pub resumes: bool,
    /// Whether another domain's allocator redirected the request.
    pub redirected: bool,
    /// Targets that must not be granted.
    pub excluded: Vec<TargetKey>,
}

/// What an allocator says to an [`Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// A slot.
    Grant {
        /// Permit for the slot; unique at its allocator.
        permit: u64,
        /// Target.
        target: TargetKey,
        /// Predicted time to the first event, in milliseconds.
        wait_ms: u32,
    },
    /// The request waits; another reply follows.
    Queued,
    /// No slot will be free in time.
    Refused {
        /// Time after which one will be free, in milliseconds.
        retry_ms: u32,
    },
    /// This domain is full, and another one has free slots.
    Elsewhere {
        /// The other domain.
        domain: DomainId,
    },
}

impl Reply {
    /// Name in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Reply::Grant { .. } => "grant",
            Reply::Queued => "queued",
            Reply::Refused { .. } => "refused",
            Reply::Elsewhere { .. } => "elsewhere",
        }
    }
}

/// New running count of an instance at one target, when a request starts or ends there.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Number in the sequence of the sender's heartbeats and updates.
    pub sequence: u64,
    /// Work of the sender at the target.
    pub row: Row,
    /// Prompt that is sent to the target.
    pub prefill: Option<Prefill>,
    /// Permit that the request uses; 0 without one.
    pub permit: u64,
    /// Whether a request with a short prompt ended, so that a slot for one is free. The slots of others are found free by
    /// the next look at the queue.
    pub ended: bool,
}

/// A message between an instance and an allocator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// A request needs a slot.
    Ask(Ask),
    /// Reply to the ask with this number.
    Reply(u64, Reply),
    /// The request of this ask does not wait any more, and does not use this permit (0 if it has none).
    Return(u64, u64),
    /// Work of the sender at a target changed.
    Update(Update),
}

/// A datagram with messages.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Number of the sender's process, drawn at its start.
    pub incarnation: Incarnation,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Messages in the order in which they are to be applied.
    pub messages: Vec<Message>,
}

impl Envelope {
    /// Checks all values.
    ///
    /// # Errors
    /// Returns the first value that is out of its range.
    pub fn check(&self) -> Result<(), Malformed> {
        check("messages", self.messages.len() as u64, MAX_MESSAGES as u64)?;
        self.messages.iter().try_for_each(Message::check)
    }
}

impl Message {
    fn check(&self) -> Result<(), Malformed> {
        match self {
            Message::Ask(ask) => ask.check(),
            Message::Reply(_, Reply::Grant { wait_ms, .. }) => check_time("wait_ms", *wait_ms),
            Message::Reply(_, Reply::Refused { retry_ms }) => check_time("retry_ms", *retry_ms),
            Message::Reply(..) | Message::Return(..) => Ok(()),
            Message::Update(update) => update.check(),
        }
    }
}

impl Ask {
    fn check(&self) -> Result<(), Malformed> {
        check_time("gap_ms", self.gap_ms)?;
        check_time("objective_ms", self.objective_ms)?;
        check_time("left_ms", self.left_ms)?;
        let excluded = self.excluded.len() as u64;
        check("excluded", excluded, MAX_EXCLUDED as u64)
    }

    /// The ask when it is repeated after `age`. An allocator that does not know it must not count its times anew.
    pub fn aged(&self, age: Duration) -> Ask {
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Ask {
            objective_ms: self.objective_ms.saturating_sub(age),
            left_ms: self.left_ms.saturating_sub(age),
            ..self.clone()
        }
    }

    /// Time until the first event misses its objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(u64::from(self.objective_ms))
    }

    /// Time until the caller disconnects.
    pub fn left(&self) -> Duration {
        Duration::from_millis(u64::from(self.left_ms))
    }
}

impl Update {
    fn check(&self) -> Result<(), Malformed> {
        check_row(&self.row)
    }
}

/// Messages for each address in the order in which they were posted, as many in one envelope as a receiver accepts.
pub fn batch(
    posted: impl IntoIterator<Item = (SocketAddr, Message)>,
) -> Vec<(SocketAddr, Vec<Message>)> {
    let mut batches: Vec<(SocketAddr, Vec<Message>)> = Vec::new();
    for (address, message) in posted {
        let mut last = batches.iter_mut().rev();
        match last.find(|(known, _)| *known == address) {
            Some((_, messages)) if messages.len() < SENT_MESSAGES => messages.push(message),
            _ => batches.push((address, vec![message])),
        }
    }
    batches
}

/// Checks the counts of an instance at one target.
///
/// # Errors
/// Returns the first value that is out of its range.
pub fn check_row(row: &Row) -> Result<(), Malformed> {
    let running = u64::from(row.running);
    check("running", running, u64::from(MAX_RUNNING))?;
    check("short", u64::from(row.short), running)
}

/// Checks the processor share of an instance, in thousandths of a core.
///
/// # Errors
/// Returns the value if it is out of its range.
pub fn check_processor(share: u32) -> Result<(), Malformed> {
    check("processor", u64::from(share), u64::from(MAX_PROCESSOR))
}

fn check_time(field: &'static str, ms: u32) -> Result<(), Malformed> {
    check(field, u64::from(ms), u64::from(MAX_TIME_MS))
}
