use serde::{Deserialize, Serialize};

use super::TargetKey;
use crate::id::{DomainId, Incarnation, InstanceId, Offset};

/// What an instance has at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Shortest pause between events that a request there bears, in milliseconds; 0 if there is none.
    pub gap_ms: u32,
    /// Requests with short prompts.
    pub short: u32,
    /// Requests that were sent there and are not finished.
    pub running: u32,
    /// The target.
    pub target: TargetKey,
    /// Tokens of context of these requests.
    pub tokens: u32,
}

/// A prompt that targets read, in one part each.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefill {
    /// Time since it was sent, in milliseconds.
    pub age_ms: u32,
    /// Whether the request is late anyway, so that newer work may come first.
    pub background: bool,
    /// Number of the request at its instance.
    pub number: u64,
    /// Reading time of each part, in milliseconds.
    pub part_ms: u32,
    /// Of two prompts that were given the same targets at the same time, the one with the lower rank goes first.
    pub rank: u32,
    /// Whether all parts were read: it still tells what its targets did meanwhile.
    pub finished: bool,
    /// The targets.
    pub targets: Vec<TargetKey>,
}

/// One datagram between instances: what the sender has at which targets and what it knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Ends of the topics as far as the sender knows them, in the order of `Topic::ALL`.
    pub ends: [Offset; 3],
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Paces of engines that the sender measured lately, in percent.
    pub slowdowns: Vec<(TargetKey, u32)>,
    /// Prompts that targets read for it, and those that were read lately.
    pub prefills: Vec<Prefill>,
    /// Its work, sorted by target.
    pub rows: Vec<Row>,
    /// Count of beats of this process, so that late datagrams are recognized.
    pub sequence: u64,
    /// Logical time of the sender, so that event lines of different instances can be put in order.
    pub time: u64,
    /// Targets that failed the sender lately, with the remaining time in milliseconds.
    pub suspects: Vec<(TargetKey, u32)>,
}

impl Heartbeat {
    /// Whether it tells others nothing that the beat `before` has not told.
    pub fn repeats(&self, before: &Heartbeat) -> bool {
        let unread = |heartbeat: &Heartbeat| -> Vec<u64> {
            let prefills = heartbeat
                .prefills
                .iter()
                .filter(|prefill| !prefill.finished);
            prefills.map(|prefill| prefill.number).collect()
        };
        self.rows == before.rows
            && self.ends == before.ends
            && self.suspects.len() == before.suspects.len()
            && unread(self) == unread(before)
    }
}
