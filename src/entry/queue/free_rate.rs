use std::collections::VecDeque;
use std::time::Duration;

/// Window in which slots that become free are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Records closer than this are counted as one, which bounds the memory of the window.
const RESOLUTION: Duration = Duration::from_millis(10);

/// A short answer ends within this time, so running requests free at least their number of slots in it.
const SHORT_ANSWER: Duration = Duration::from_secs(4);

/// Slots that become free, over a sliding second.
#[derive(Clone, Debug, Default)]
pub struct FreeRate {
    /// Time and number of slots, oldest first.
    freed: VecDeque<(Duration, u32)>,
}

impl FreeRate {
    /// Records `count` slots that became free at `now`. A time before the last record counts as that of the last.
    pub fn record(&mut self, count: u32, now: Duration) {
        self.expire(now);
        match self.freed.back_mut() {
            Some((at, total)) if now.saturating_sub(*at) < RESOLUTION => {
                *total = total.saturating_add(count);
            }
            _ => self.freed.push_back((now, count)),
        }
    }

    /// Slots that became free in the last second, in slots per second; at least `running` divided by 4 s, so that the
    /// rate is not zero before anything has been recorded.
    pub fn per_s(&mut self, running: u32, now: Duration) -> f64 {
        self.expire(now);
        let freed: f64 = self.freed.iter().map(|(_, count)| f64::from(*count)).sum();
        let least = f64::from(running) / SHORT_ANSWER.as_secs_f64();
        (freed / WINDOW.as_secs_f64()).max(least)
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.freed.front() {
            if now.saturating_sub(*at) < WINDOW {
                return;
            }
            self.freed.pop_front();
        }
    }
}
