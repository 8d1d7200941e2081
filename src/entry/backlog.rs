use std::time::Duration;

/// Part of its reading time with which a prompt counts that is not read yet, though it should be.
const MIN_REMAINING: f64 = 0.1;

/// The parts of prompts that one engine was given to read.
///
/// An engine reads one part after the other, whatever the order, and stands idle only when there is none. So what is left
/// follows from when which parts came, also if instances that know nothing of each other sent them at the same time.
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
    /// Adds a part that came at `start` and takes `time`.
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

    /// Reading time that is left of all parts but those that give way to newer ones.
    pub fn ahead(&self, now: Duration) -> Duration {
        remaining(self.parts.iter().filter(|part| !part.background), now)
    }

    /// Reading time that is left of the parts that give way to newer ones.
    pub fn background(&self, now: Duration) -> Duration {
        remaining(self.parts.iter(), now).saturating_sub(self.ahead(now))
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
