use std::time::Duration;

use crate::id::Tokens;

/// Estimate of a rate in tokens/s: exponentially weighted tokens divided by exponentially weighted time.
///
/// The ratio of the two sums stays correct when several chunks complete at the same moment. A mean of individual rates
/// would be dominated by those with a time near zero.
#[derive(Clone, Debug)]
pub(super) struct Rate {
    configured: f64,
    seconds: f64,
    tokens: f64,
}

impl Rate {
    /// Largest factor by which the estimate may differ from the configured rate.
    const MAX_FACTOR: f64 = 8.0;
    /// Weight of the earlier sums after each observation.
    const DECAY: f64 = 0.8;

    pub(super) fn new(configured: u64) -> Rate {
        let configured = configured.max(1) as f64;
        Rate {
            configured,
            seconds: 1.0,
            tokens: configured,
        }
    }

    /// Adds an observation of `tokens` processed in `time`.
    pub(super) fn observe(&mut self, tokens: Tokens, time: Duration) {
        if tokens == 0 {
            return;
        }
        self.seconds = self.seconds * Rate::DECAY + time.as_secs_f64();
        self.tokens = self.tokens * Rate::DECAY + tokens as f64;
    }

    /// The estimate, within [`Rate::MAX_FACTOR`] of the configured rate.
    pub(super) fn tokens_per_second(&self) -> f64 {
        let rate = self.tokens / self.seconds.max(1e-9);
        rate.clamp(
            self.configured / Rate::MAX_FACTOR,
            self.configured * Rate::MAX_FACTOR,
        )
    }
}
