//! Limits what an instance holds for its callers. Load: callers and targets that read slowly, and small instances: the
//! bodies of requests, buffered answers and unread events are each limited for one request, but not in total.

mod ahead;
mod uploads;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use prometheus::IntGauge;

use super::{Metrics, Settings};

pub use ahead::ReadAhead;
pub use uploads::{Upload, Uploads};

/// Time between two log lines about the limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum of one count; the sum of all counts must not exceed its type.
const MAX_COUNT: usize = usize::MAX >> 24;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Answers that are read completely before they are forwarded.
    Answer,
    /// Bodies of requests.
    Body,
    /// Events that were read ahead of their callers.
    Unread,
}

impl Kind {
    /// All kinds; the position of a kind is its number.
    pub const ALL: [Kind; 3] = [Kind::Answer, Kind::Body, Kind::Unread];

    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Answer => "answer",
            Kind::Body => "body",
            Kind::Unread => "unread",
        }
    }
}

/// The bytes that an instance holds, and their limit.
#[derive(Debug)]
pub struct Held {
    gauges: [IntGauge; 3],
    last_line: Cell<Option<Duration>>,
    max_bytes: Cell<Option<u64>>,
}

impl Held {
    /// Counts in the gauges of `metrics`.
    pub fn new(metrics: &Metrics, settings: &Settings) -> Held {
        let gauge = |kind: Kind| metrics.held_bytes.with_label_values(&[kind.name()]);
        Held {
            gauges: Kind::ALL.map(gauge),
            last_line: Cell::default(),
            max_bytes: Cell::new(settings.held_max_bytes),
        }
    }

    /// Replaces the limit; none switches it off.
    pub fn set_limit(&self, max_bytes: Option<u64>) {
        self.max_bytes.set(max_bytes);
    }

    /// The limit, if any.
    pub fn limit(&self) -> Option<u64> {
        self.max_bytes.get()
    }

    /// Bytes that are held.
    pub fn total(&self) -> u64 {
        let counts = self.gauges.iter().map(|gauge| gauge.get().max(0));
        counts.fold(0, |sum, count| sum.saturating_add(count.unsigned_abs()))
    }

    /// Whether the limit allows that more is held.
    pub fn has_room(&self) -> bool {
        self.limit().is_none_or(|limit| self.total() < limit)
    }

    /// Whether a log line about the limit is due; true once in each interval.
    pub fn take_line(&self, now: Duration) -> bool {
        let last = self.last_line.get();
        let is_due = last.is_none_or(|last| now.saturating_sub(last) >= LOG_INTERVAL);
        if is_due {
            self.last_line.set(Some(now));
        }
        is_due
    }

    /// A count of bytes that is empty at first.
    pub fn count(&self, kind: Kind) -> HeldBytes {
        HeldBytes {
            bytes: 0,
            gauge: self.gauges[kind as usize].clone(),
        }
    }
}

/// Bytes that are held for one purpose; released on drop.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: usize,
    gauge: IntGauge,
}

impl HeldBytes {
    /// Counts more bytes.
    pub fn add(&mut self, bytes: usize) {
        let bytes = bytes.min(MAX_COUNT.saturating_sub(self.bytes));
        self.bytes += bytes;
        self.gauge.add(as_count(bytes));
    }

    /// Releases some of the bytes.
    pub fn remove(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.gauge.sub(as_count(bytes));
    }

    /// Number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ties the count to bytes: it is released when their last copy is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Kept { bytes, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.gauge.sub(as_count(self.bytes));
    }
}

/// Bytes with their count.
struct Kept {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn as_count(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
