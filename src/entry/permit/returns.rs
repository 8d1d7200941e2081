use std::time::Duration;

/// Share of the slots that become free which refused callers may take when they return. The rest is for new ones, which
/// can still be served in time.
const SHARE: f64 = 0.25;

/// Minimum time after which a refused caller returns.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Maximum time: callers with a deadline of 10 s hardly wait for longer.
const MAX_RETRY: Duration = Duration::from_secs(3);

/// Times at which refused callers return: one after the other, so that they do not meet in the same burst again.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    /// Time at which the last refused caller returns.
    last: Duration,
}

impl Returns {
    /// Time after which the next refused caller returns, if `rate` slots become free per second. Callers beyond the
    /// maximum time are spread over its last third by `random` (0 to 1).
    pub(super) fn next(&mut self, rate: f64, random: f64, now: Duration) -> Duration {
        let step = Duration::try_from_secs_f64(1.0 / (rate * SHARE)).unwrap_or(MAX_RETRY);
        let next = self.last.saturating_add(step).max(now + MIN_RETRY);
        self.last = next.min(now + MAX_RETRY);
        match next <= self.last {
            true => next.saturating_sub(now),
            false => MAX_RETRY.mul_f64(1.0 - random / 3.0),
        }
    }
}
