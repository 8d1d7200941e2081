//! Monotonic time, wall time and the logical clock of one instance.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clocks of one instance; shared by `Arc`.
#[derive(Debug)]
pub struct Clock {
    logical: AtomicU64,
    start: Instant,
}

impl Clock {
    /// Creates clocks that start at zero.
    pub fn new() -> Self {
        Self {
            logical: AtomicU64::new(0),
            start: Instant::now(),
        }
    }

    /// Merges the logical time of a received message, so that later events are ordered after the sending.
    pub fn merge(&self, time: u64) {
        self.logical.fetch_max(time, Ordering::AcqRel);
    }

    /// Monotonic time since the clock was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Advances the logical clock for an event or a message to be sent, and returns its time.
    pub fn tick(&self) -> u64 {
        let mut time = self.logical.load(Ordering::Acquire);
        loop {
            // A peer that sends the maximum value must not make the clock wrap around.
            let next = time.saturating_add(1);
            match self.logical.compare_exchange_weak(
                time,
                next,
                Ordering::AcqRel,
                Ordering::Acquire,
            ) {
                Ok(_) => return next,
                Err(current) => time = current,
            }
        }
    }

    /// The logical time of the last event, without advancing it.
    pub fn time(&self) -> u64 {
        self.logical.load(Ordering::Acquire)
    }

    /// Wall time in milliseconds since the Unix epoch; 0 if the system clock is set before the epoch.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
