use std::time::Duration;

use crate::id::Tokens;

/// Estimate of a rate in tokens/s: exponentially weighted tokens over exponentially weighted time.
///
/// The ratio of two sums stays correct when several pieces complete at the same moment, where a mean of single rates
/// would be dominated by the near-zero times.
#[derive(Clone, Debug)]
pub(super) struct Rate {
    configured: f64,
    seconds: f64,
    tokens: f64,
}

impl Rate {
    /// Largest factor between the estimate and the configured rate.
    const BOUND: f64 = 8.0;
    /// Share of the sums that remains after each observation.
    const KEEP: f64 = 0.8;

    pub(super) fn new(configured: u64) -> Rate {
        let configured = configured.max(1) as f64;
        Rate {
            configured,
            seconds: 1.0,
            tokens: configured,
        }
    }

    /// Adds an observation.
    pub(super) fn observe(&mut self, tokens: Tokens, time: Duration) {
        if tokens == 0 {
            return;
        }
        self.seconds = self.seconds * Rate::KEEP + time.as_secs_f64();
        self.tokens = self.tokens * Rate::KEEP + tokens as f64;
    }

    /// Tokens/s, within the bounds.
    pub(super) fn get(&self) -> f64 {
        let rate = self.tokens / self.seconds.max(1e-9);
        rate.clamp(self.configured / Rate::BOUND, self.configured * Rate::BOUND)
    }
}
