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

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    /// Remaining prefill time of all parts except background ones.
    pub fn ahead(&self, now: Duration) -> Duration {
        remaining(self.parts.iter().filter(|part| !part.background), now)
    }

    /// Remaining prefill time of background parts, which engines postpone in favor of newer ones.
    pub fn background(&self, now: Duration) -> Duration {
        match self.parts.iter().any(|part| part.background) {
            true => remaining(self.parts.iter(), now).saturating_sub(self.ahead(now)),
            false => Duration::ZERO,
        }
    }
}

fn remaining<'a>(parts: impl Iterator<Item = &'a Part>, now: Duration) -> Duration {
    let (mut remaining, mut last, mut unfinished) =
        (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    for part in parts {
        remaining = remaining.saturating_sub(part.start.saturating_sub(last)) + part.time;
        last = part.start;
        if !part.finished {
            unfinished += part.time;
        }
    }
    remaining
        .saturating_sub(now.saturating_sub(last))
        .clamp(unfinished.mul_f64(MIN_REMAINING), unfinished)
}
