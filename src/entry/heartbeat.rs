use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::hedge::Sample;
use super::permit::{check_processor, check_row, Malformed};
use super::quarantine::Report;
use super::{Position, TargetKey};
use crate::id::{DomainId, Incarnation, InstanceId};

/// What an instance has sent to one target and is still running.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Smallest gap between events that a request there tolerates, in milliseconds; 0 if there is none.
    pub gap_ms: u32,
    /// Running requests with short prompts.
    pub short: u32,
    /// Running requests.
    pub running: u32,
    /// The target.
    pub target: TargetKey,
    /// Tokens of context that running requests occupy there.
    pub tokens: u32,
}

/// A prompt whose parts were sent to targets, one part to each, or a long prompt that waits for targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefill {
    /// Time since its targets were chosen, in milliseconds.
    pub age_ms: u32,
    /// Whether newer work may be processed first, because the request misses its objective in any case.
    pub background: bool,
    /// Number of the request at its instance.
    pub number: u64,
    /// Prefill time of each part, in milliseconds; of the whole prompt on one target if it waits.
    pub part_ms: u32,
    /// Random tie-breaker: of two prompts for which the same targets were chosen at the same time, the lower rank is
    /// sent.
    pub rank: u32,
    /// Whether all parts are processed. Such a prompt is still reported, since it delayed other parts at its targets.
    pub finished: bool,
    /// The targets; empty if the prompt waits, which is no load.
    pub targets: Vec<TargetKey>,
    /// Whether the targets are only held: the prompt is sent when earlier work there has ended.
    pub held: bool,
}

/// A datagram between instances: the sender's work at each target, and what it knows.
///
/// The types of a heartbeat are encoded by position, so the order of their fields must not change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Address of the sender for heartbeats and transfers; none stands for the address that the datagram comes from.
    pub address: Option<SocketAddr>,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Ends of the topics as known to the sender, in the order of `Topic::ALL`.
    pub ends: [Position; 3],
    /// Number of the sender's process, drawn at its start.
    pub incarnation: Incarnation,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Slowdowns of engines that the sender measured recently, in percent.
    pub slowdowns: Vec<(TargetKey, u32)>,
    /// The sender's prompts in prefill, those that finished it recently, and those that wait, sorted by number.
    pub prefills: Vec<Prefill>,
    /// The sender's running requests, sorted by target.
    pub rows: Vec<Row>,
    /// Number of this heartbeat in the sender's process, by which late datagrams are recognized.
    pub sequence: u64,
    /// Logical time of the sender; orders log lines across instances.
    pub time: u64,
    /// Targets that the sender ejected, with the remaining time in milliseconds.
    pub suspects: Vec<(TargetKey, u32)>,
    /// Fragments of prompts at which targets crashed.
    pub fragments: Report,
    /// Targets that said to the sender that they leave, and the starts of their processes in Unix milliseconds.
    pub leaving: Vec<(TargetKey, Option<u64>)>,
    /// Topics that the sender reads from the log with success, in the order of `Topic::ALL`.
    pub reads: [bool; 3],
    /// Version of the operator's configuration that the sender knows; 0 before the first one.
    pub config: u64,
    /// Share of a processor core in thousandths; 0 if unknown, if the process stops, or if it uses no permits.
    pub processor: u32,
    /// Times that the sender measured and that no earlier heartbeat carried, at most `hedge::MAX_SAMPLES`.
    pub samples: Vec<Sample>,
}

impl Heartbeat {
    /// Checks its counts and its processor share.
    ///
    /// # Errors
    /// Returns the first value that is out of its range.
    pub fn check(&self) -> Result<(), Malformed> {
        check_processor(self.processor)?;
        self.rows.iter().try_for_each(check_row)
    }

    /// Whether it carries no news compared with the earlier heartbeat `before`. Samples are no news, since they can wait
    /// for the next heartbeat.
    pub fn repeats(&self, before: &Heartbeat) -> bool {
        let unfinished = |heartbeat: &Heartbeat| -> Vec<u64> {
            let prefills = heartbeat
                .prefills
                .iter()
                .filter(|prefill| !prefill.finished);
            prefills.map(|prefill| prefill.number).collect()
        };
        self.rows == before.rows
            && self.ends == before.ends
            && self.config == before.config
            && self.fragments.repeats(&before.fragments)
            && self.leaving == before.leaving
            && self.reads == before.reads
            && self.suspects.len() == before.suspects.len()
            && unfinished(self) == unfinished(before)
    }
}
