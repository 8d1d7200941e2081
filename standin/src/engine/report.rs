//! Load reports and entries of the statistics.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::clock::unix_ms;
use crate::warmth::Warmth;

/// Newest reports that are kept, so that a lagging one can be read.
const REPORT_LIMIT: usize = 4_096;

/// Memory in use, in tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Memory {
    pub(super) cache: u64,
    pub(super) handles: u64,
    pub(super) limit: u64,
    /// Reserved for the prompts and complete responses of running streams.
    pub(super) reserved: u64,
    /// Prompts and generated tokens of running streams.
    pub(super) streams: u64,
}

/// A received request, as the statistics list it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Received {
    pub(super) at_ms: u64,
    pub(super) attempt: String,
    pub(super) handle: Option<String>,
    /// Length of the prompt in tokens.
    pub(super) prompt: u64,
    pub(super) status: u16,
}

/// The load of an engine at one time.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Report {
    at_ms: u64,
    boot: u64,
    cold: bool,
    memory: Memory,
    running: usize,
    waiting: usize,
}

/// Load reports, newest last.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Additional lag that a fault sets.
    pub(super) extra_lag: Duration,
    reports: VecDeque<(Instant, Report)>,
}

impl Reports {
    /// Records a report.
    pub(super) fn add(&mut self, warmth: &Warmth, memory: Memory, running: usize, waiting: usize) {
        if self.reports.len() == REPORT_LIMIT {
            self.reports.pop_front();
        }
        let report = Report {
            at_ms: unix_ms(),
            boot: warmth.boot,
            cold: warmth.cold,
            memory,
            running,
            waiting,
        };
        self.reports.push_back((Instant::now(), report));
    }

    /// The report that was the newest one at `lag` before `now`.
    pub(super) fn read(&self, lag: Duration, now: Instant) -> Option<Report> {
        let count = self
            .reports
            .partition_point(|(at, _)| *at + lag <= now)
            .max(1);
        self.reports.get(count - 1).map(|(_, report)| *report)
    }
}
