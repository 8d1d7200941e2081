//! Boot number of a target, and whether it is cold.

use jujubehook_http::http_types::Response;
use serde::Serialize;

use crate::clock::unix_ms;

/// First crashes that the statistics list.
const CRASH_LIMIT: usize = 1_000;

/// A crash under load while cold.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Crash {
    pub(crate) at_ms: u64,
    pub(crate) cold_since_ms: u64,
    pub(crate) running: usize,
}

/// Whether a target is cold, and statistics of the time in which it was.
#[derive(Debug)]
pub(crate) struct Warmth {
    pub(crate) boot: u64,
    pub(crate) cold: bool,
    cold_limit: usize,
    cold_since_ms: u64,
    completed: u64,
    pub(crate) crashes: Vec<Crash>,
    pub(crate) peak_cold: usize,
    warm_after: u64,
}

impl Warmth {
    /// The state after a start. A `boot` of 0 takes the Unix time in milliseconds, so that a restarted process has a
    /// new boot number.
    pub(crate) fn new(boot: u64, cold: bool, cold_limit: usize, warm_after: u64) -> Self {
        Self {
            boot: if boot == 0 { unix_ms() } else { boot },
            cold,
            cold_limit,
            cold_since_ms: unix_ms(),
            completed: 0,
            crashes: Vec::new(),
            peak_cold: 0,
            warm_after,
        }
    }

    /// Starts a new boot, which is cold.
    pub(crate) fn restart(&mut self) {
        self.boot += 1;
        self.mark_cold();
    }

    /// Turns cold without a new boot number.
    pub(crate) fn mark_cold(&mut self) {
        self.cold = true;
        self.cold_since_ms = unix_ms();
        self.completed = 0;
    }

    /// Counts a completed request; after `warm_after` of them the target is warm.
    pub(crate) fn count_completion(&mut self) {
        self.completed += 1;
        if self.completed >= self.warm_after {
            self.cold = false;
        }
    }

    /// Adds the boot number and the cold state to the headers of a response.
    pub(crate) fn add_headers(&self, response: &mut Response) {
        response.insert_header("x-boot", self.boot.to_string());
        response.insert_header("x-cold", u8::from(self.cold).to_string());
    }

    /// Records the number of running requests. Returns true if the target crashes under them.
    pub(crate) fn check_load(&mut self, running: usize) -> bool {
        if !self.cold {
            return false;
        }
        self.peak_cold = self.peak_cold.max(running);
        if running <= self.cold_limit {
            return false;
        }
        tracing::warn!(boot = self.boot, running, "crash under load while cold");
        if self.crashes.len() < CRASH_LIMIT {
            self.crashes.push(Crash {
                at_ms: unix_ms(),
                cold_since_ms: self.cold_since_ms,
                running,
            });
        }
        true
    }
}
