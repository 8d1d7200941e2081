//! Load reports and the rows of the statistics.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::clock::unix_ms;
use crate::warmth::Warmth;

/// Reports that are kept for the lag.
const REPORT_LIMIT: usize = 4_096;

/// Memory in tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Memory {
    pub(super) cache: u64,
    pub(super) handles: u64,
    pub(super) limit: u64,
    /// Set aside for prompts and complete responses of running streams.
    pub(super) reserved: u64,
    /// Prompts and generated tokens of running streams.
    pub(super) streams: u64,
}

/// A request as the statistics list it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Seen {
    pub(super) at_ms: u64,
    pub(super) attempt: String,
    pub(super) handle: Option<String>,
    pub(super) prompt: u64,
    pub(super) status: u16,
}

/// A load report.
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
    /// Lag that a fault adds.
    pub(super) late: Duration,
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

    /// The report that was the newest one `lag` ago.
    pub(super) fn read(&self, lag: Duration, now: Instant) -> Option<Report> {
        let count = self
            .reports
            .partition_point(|(at, _)| *at + lag <= now)
            .max(1);
        self.reports.get(count - 1).map(|(_, report)| *report)
    }
}
