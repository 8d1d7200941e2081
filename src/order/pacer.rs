use std::time::Duration;

/// Token bucket, represented by the time at which it will be full.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Pacer {
    burst: u32,
    full_at: Duration,
    interval: Duration,
}

impl Pacer {
    /// Creates an empty bucket, since the previous controller may just have used all tokens.
    pub(super) fn new(burst: u32, interval: Duration, now: Duration) -> Self {
        Self {
            burst,
            full_at: now + interval * burst,
            interval,
        }
    }

    /// Takes a token if there is one; returns whether it did.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        let full_at = self.full_at.max(now) + self.interval;
        if full_at > now + self.interval * self.burst {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
