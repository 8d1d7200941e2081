use std::time::Duration;

use super::TargetKey;

/// Longest pause of a target, whatever it asks for: a faulty value must not take it out of service until a restart.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Pause of a target that asks for one in a form that cannot be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// The pause that a target asks for, from the value of its `Retry-After`: seconds, which may have a fraction. Dates are
/// not read, since clocks differ.
pub fn pause_time(value: &str) -> Duration {
    match value.trim().parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => {
            Duration::try_from_secs_f64(seconds).map_or(MAX_PAUSE, |time| time.min(MAX_PAUSE))
        }
        Ok(_) | Err(_) => UNREADABLE_PAUSE,
    }
}

/// Targets that want no request from this instance for a while, because they said so when they refused one.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    /// Ends, sorted by target.
    ends: Vec<(TargetKey, Duration)>,
}

impl Pauses {
    /// Starts or extends the pause of a target; false if a pause to that time was known.
    pub fn start(&mut self, target: TargetKey, time: Duration, now: Duration) -> bool {
        let end = now.saturating_add(time.min(MAX_PAUSE));
        match self.ends.binary_search_by_key(&target, |(key, _)| *key) {
            Ok(at) if self.ends[at].1 >= end => false,
            Ok(at) => {
                self.ends[at].1 = end;
                true
            }
            Err(at) => {
                self.ends.insert(at, (target, end));
                true
            }
        }
    }

    /// Time until the end of a target's pause; none if it does not pause.
    pub fn left(&self, target: TargetKey, now: Duration) -> Option<Duration> {
        let found = self.ends.binary_search_by_key(&target, |(key, _)| *key);
        let left = self.ends[found.ok()?].1.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Removes pauses that are over.
    pub fn expire(&mut self, now: Duration) {
        self.ends.retain(|(_, end)| now < *end);
    }
}
