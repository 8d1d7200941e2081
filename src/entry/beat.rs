use serde::{Deserialize, Serialize};

use super::TargetKey;
use crate::id::{DomainId, Incarnation, InstanceId, Offset};

/// What an instance has at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Reading time that is ahead at the target and gives way to newer work, in milliseconds.
    pub background_ms: u32,
    /// Other reading time that is ahead at the target, in milliseconds.
    pub backlog_ms: u32,
    /// Shortest pause between events that a request there bears, in milliseconds; 0 if there is none.
    pub gap_ms: u32,
    /// Requests with short prompts.
    pub light: u32,
    /// Requests that were sent there and are not finished.
    pub running: u32,
    /// The target.
    pub target: TargetKey,
    /// Tokens of context of these requests.
    pub tokens: u32,
}

/// One datagram between instances: what the sender has at which targets and what it knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Ends of the topics as far as the sender knows them, in the order of `Topic::ALL`.
    pub ends: [Offset; 3],
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Paces of engines that the sender measured lately, in percent.
    pub paces: Vec<(TargetKey, u32)>,
    /// Its work, sorted by target.
    pub rows: Vec<Row>,
    /// Count of beats of this process, so that late datagrams are recognized.
    pub sequence: u64,
    /// Logical time of the sender, so that event lines of different instances can be put in order.
    pub time: u64,
    /// Targets that failed the sender lately, with the remaining time in milliseconds.
    pub suspects: Vec<(TargetKey, u32)>,
}
