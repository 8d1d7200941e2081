use std::time::Duration;

use super::waiting::Level;

/// Least cost of a request. A cost of zero would let a workspace start any number of requests before the others.
const MIN_COST: Duration = Duration::from_millis(1);

/// Highest cost of a request. A wrong cost then delays its workspace by a minute of slot time at most.
const MAX_COST: Duration = Duration::from_secs(60);

/// Virtual times of start-time fair queueing, in slot time, per level.
#[derive(Clone, Debug, Default)]
pub(super) struct Fair {
    /// Finish tag of the last served request of each workspace that is ahead of its level. Sorted.
    finished: Vec<((Level, u32), Duration)>,
    /// Start tag of the last served request of each level. Sorted.
    virtual_times: Vec<(Level, Duration)>,
}

impl Fair {
    /// Charges a served request with this start tag to its workspace.
    pub(super) fn charge(&mut self, level: Level, workspace: u32, start: Duration, cost: Duration) {
        let virtual_time = start.max(self.virtual_time(level));
        let found = self
            .virtual_times
            .binary_search_by_key(&level, |(key, _)| *key);
        match found {
            Ok(at) => self.virtual_times[at].1 = virtual_time,
            Err(at) => self.virtual_times.insert(at, (level, virtual_time)),
        }
        let key = (level, workspace);
        let finish = finish(start, cost);
        match self.finished.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(at) => self.finished[at].1 = finish,
            Err(at) => self.finished.insert(at, (key, finish)),
        }
        // A workspace that is not ahead of its level starts at the virtual time in any case.
        self.finished
            .retain(|((of, _), finish)| *of != level || *finish > virtual_time);
    }

    /// Forgets a level in which no request waits any more. What was served while nobody else waited is not charged.
    pub(super) fn forget(&mut self, level: Level) {
        self.finished.retain(|((of, _), _)| *of != level);
        self.virtual_times.retain(|(of, _)| *of != level);
    }

    /// Start tag of the first waiting request of a workspace. It is not before the virtual time, so a workspace gets no
    /// credit for an idle period.
    pub(super) fn start(&self, level: Level, workspace: u32) -> Duration {
        let key = (level, workspace);
        let found = self.finished.binary_search_by_key(&key, |(key, _)| *key);
        let finished = found.map_or(Duration::ZERO, |at| self.finished[at].1);
        finished.max(self.virtual_time(level))
    }

    fn virtual_time(&self, level: Level) -> Duration {
        let found = self
            .virtual_times
            .binary_search_by_key(&level, |(key, _)| *key);
        found.map_or(Duration::ZERO, |at| self.virtual_times[at].1)
    }
}

/// The cost of a request, within the limits.
pub(super) fn charged(cost: Duration) -> Duration {
    cost.clamp(MIN_COST, MAX_COST)
}

/// The finish tag of a request, which is the start tag of the next one of its workspace.
pub(super) fn finish(start: Duration, cost: Duration) -> Duration {
    start.saturating_add(charged(cost))
}
