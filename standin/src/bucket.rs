//! Token bucket rate limiter.

use std::time::Instant;

/// Limits a rate per second; a rate of 0 means no limit.
#[derive(Debug)]
pub(crate) struct Bucket {
    burst: f64,
    refilled: Instant,
    level: f64,
    rate: f64,
}

impl Bucket {
    /// A full bucket; `burst` is the number of events that may happen at once.
    pub(crate) fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            burst,
            refilled: now,
            level: burst,
            rate,
        }
    }

    /// Takes one event if the rate permits it.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let gained = now.saturating_duration_since(self.refilled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.refilled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
