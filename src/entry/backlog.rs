use std::time::Duration;

/// Minimum share of its prefill time that an unfinished part counts for, even if it should be done by now.
const MIN_REMAINING: f64 = 0.1;

/// Prefill work that was sent to one engine, as parts of prompts.
///
/// An engine processes one part at a time, in any order, and idles only when it has none. The remaining time therefore
/// follows from the arrival and length of each part, even if instances that did not know of each other sent parts at
/// the same time.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Sorted by arrival.
    parts: Vec<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    background: bool,
    finished: bool,
    start: Duration,
    time: Duration,
}

impl Backlog {
    /// Adds a part that arrived at `start` and takes `time`.
    pub fn add(&mut self, start: Duration, time: Duration, background: bool, finished: bool) {
        let at = self.parts.partition_point(|part| part.start <= start);
        let part = Part {
            background,
            finished,
            start,
            time,
        };
        self.parts.insert(at, part);
    }

    /// Remaining prefill time of all parts except background ones.
    pub fn ahead(&self, now: Duration) -> Duration {
        self.sums().ahead(now)
    }

    /// Remaining prefill time of background parts, which engines postpone in favor of newer ones.
    pub fn background(&self, now: Duration) -> Duration {
        self.sums().background(now)
    }

    /// What the remaining times depend on besides the time.
    pub(super) fn sums(&self) -> Sums {
        let has_background = self.parts.iter().any(|part| part.background);
        Sums {
            ahead: Sum::new(self.parts.iter().filter(|part| !part.background)),
            all: has_background.then(|| Sum::new(self.parts.iter())),
        }
    }
}

/// Sums over the parts of a backlog.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    /// Of all parts except background ones.
    ahead: Sum,
    /// Of all parts; none without background parts.
    all: Option<Sum>,
}

impl Sums {
    /// Remaining prefill time of all parts except background ones.
    pub(super) fn ahead(&self, now: Duration) -> Duration {
        self.ahead.remaining(now)
    }

    /// Remaining prefill time of background parts.
    pub(super) fn background(&self, now: Duration) -> Duration {
        self.all.map_or(Duration::ZERO, |all| {
            all.remaining(now).saturating_sub(self.ahead(now))
        })
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Arrival of the last part.
    last: Duration,
    /// Time for which unfinished parts count at least.
    min: Duration,
    /// Remaining time at the arrival of the last part.
    remaining: Duration,
    /// Prefill time of unfinished parts.
    unfinished: Duration,
}

impl Sum {
    fn new<'a>(parts: impl Iterator<Item = &'a Part>) -> Sum {
        let mut sum = Sum::default();
        for part in parts {
            let passed = part.start.saturating_sub(sum.last);
            sum.remaining = sum.remaining.saturating_sub(passed) + part.time;
            sum.last = part.start;
            if !part.finished {
                sum.unfinished += part.time;
            }
        }
        sum.min = sum.unfinished.mul_f64(MIN_REMAINING);
        sum
    }

    fn remaining(&self, now: Duration) -> Duration {
        self.remaining
            .saturating_sub(now.saturating_sub(self.last))
            .clamp(self.min, self.unfinished)
    }
}
