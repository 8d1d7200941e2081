use std::time::Duration;

/// Token bucket, kept as the time at which the bucket will be full again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Pacer {
    burst: u32,
    full: Duration,
    interval: Duration,
}

impl Pacer {
    /// Makes an empty bucket, since a previous controller may just have used its tokens.
    pub(super) fn new(burst: u32, interval: Duration, now: Duration) -> Self {
        Self {
            burst,
            full: now + interval * burst,
            interval,
        }
    }

    /// Takes a token if there is one.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        let full = self.full.max(now) + self.interval;
        if full > now + self.interval * self.burst {
            return false;
        }
        self.full = full;
        true
    }
}
