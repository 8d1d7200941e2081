//! Journal of cache events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Newest events that are kept.
const EVENT_LIMIT: usize = 10_000;

/// Cache events in order of sequence number. Faults can delay them and leave gaps.
#[derive(Debug, Default)]
pub(super) struct Journal {
    events: VecDeque<Event>,
    /// Every `gap`th event is lost; 0 means none.
    pub(super) gap: u64,
    sequence: u64,
}

/// Kind of change to the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Kind {
    /// All blocks were removed.
    Cleared,
    /// Blocks were evicted.
    Removed,
    /// Blocks were added.
    Stored,
}

/// One event; the sequence numbers of lost events are missing.
#[derive(Debug, Serialize)]
pub(super) struct Event {
    #[serde(skip)]
    at: Option<Instant>,
    blocks: Vec<String>,
    kind: Kind,
    sequence: u64,
}

impl Journal {
    /// Records an event. `Stored` and `Removed` without blocks are ignored.
    pub(super) fn add(&mut self, kind: Kind, blocks: &[u64], now: Instant) {
        if blocks.is_empty() && !matches!(kind, Kind::Cleared) {
            return;
        }
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            at: Some(now),
            blocks: blocks.iter().map(|hash| format!("{hash:016x}")).collect(),
            kind,
            sequence: self.sequence,
        });
    }

    /// Events with a sequence number above `after` that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> Vec<&Event> {
        self.events
            .iter()
            .skip_while(|event| event.sequence <= after)
            .take_while(|event| event.at.is_none_or(|at| at + lag <= now))
            .collect()
    }
}
