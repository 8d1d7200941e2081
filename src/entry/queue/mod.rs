//! Queue of an allocator for load beyond its slots: decides which requests wait, in which order, and which are refused.
//!
//! The queue does no I/O, has no clock other than the times that callers pass, and does not know engines. What it knows
//! of them is the rate at which slots become free ([`FreeRate`]). `docs/design/queue.md` gives the rules.

mod fair;
mod free_rate;
mod wait;
mod waiting;

use std::time::Duration;

pub use free_rate::FreeRate;
pub use waiting::{Admission, Waiting};

use fair::Fair;
use waiting::{Entry, Level};

/// How many times the waiting slot time of a new request's workspace the workspace of a displaced one has to keep. In an
/// overload of three times the rate by 16 workspaces with equal loads (`tests/entry_queue.rs`), 78 of 600 requests were
/// refused after they had been queued at a ratio of 3, none at 4.
const DISPLACING_RATIO: u32 = 4;

/// Number of removed requests from which they are removed in one pass. One pass for any number made `offer` slower, from
/// 12 to 17 to 21 to 24 microseconds (p99), since it mostly removes one.
const MANY: usize = 8;

/// Requests that wait for a slot, in the order in which they are served.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    /// Sorted by rank.
    entries: Vec<Entry>,
    fair: Fair,
    /// Index of the request that is due first.
    first: usize,
    /// Time and rate of the last prediction.
    predicted: (Duration, f64),
    random: fastrand::Rng,
}

impl Queue {
    /// A queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Queue {
        Queue::with_seed(capacity, fastrand::u64(..))
    }

    /// A queue for at most `capacity` requests, with a seed for the random factor of retry times.
    pub fn with_seed(capacity: usize, seed: u64) -> Queue {
        Queue {
            capacity,
            entries: Vec::new(),
            fair: Fair::default(),
            first: 0,
            predicted: (Duration::ZERO, 0.0),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Offers a request. `rate`: slots that become free per second. Also returns the requests that are displaced or
    /// cannot start in time any more, with their retry times. A number that already waits keeps its place.
    pub fn offer(
        &mut self,
        waiting: Waiting,
        rate: f64,
        now: Duration,
    ) -> (Admission, Vec<(Waiting, Duration)>) {
        self.predicted = (now, rate);
        let number = waiting.number;
        if self.position(number).is_some() {
            return (Admission::Queued, Vec::new());
        }
        let is_late = waiting.latest_start < now && !waiting.resumes;
        if waiting.leaves <= now || is_late && !self.is_empty() {
            let retry = self.retry(self.len());
            return (Admission::Refused { retry }, Vec::new());
        }
        let mut removed = self.remove_late();
        self.insert(waiting, is_late);
        let in_the_way = self.in_the_way();
        let is_admitted = in_the_way
            .iter()
            .all(|other| self.may_displace(number, *other));
        let leaving = if is_admitted {
            in_the_way
        } else {
            vec![number]
        };
        removed.extend(self.take_all(leaving));
        removed.extend(self.remove_late());
        let mut displaced = self.with_retry(removed);
        let found = displaced.iter().position(|(of, _)| of.number == number);
        let admission = found.map_or(Admission::Queued, |at| Admission::Refused {
            retry: displaced.remove(at).1,
        });
        (admission, displaced)
    }

    /// Removes a request, served or not; a served one is charged to its workspace.
    pub fn remove(&mut self, number: u64, is_served: bool) -> Option<Waiting> {
        let at = self.position(number)?;
        let removed = self.take(at, is_served);
        self.predict();
        Some(removed)
    }

    /// Removes requests that cannot start in time any more, with their retry times.
    pub fn expire(&mut self, rate: f64, now: Duration) -> Vec<(Waiting, Duration)> {
        self.predicted = (now, rate);
        let removed = self.remove_late();
        self.with_retry(removed)
    }

    /// The request that is due first, by the time and rate of the last `offer` or `expire`.
    pub fn head(&self) -> Option<&Waiting> {
        self.entries.get(self.first).map(|entry| &entry.waiting)
    }

    /// Numbers of all requests: the one that is due first, then the others in their order.
    pub fn order(&self) -> impl Iterator<Item = u64> + '_ {
        let others = self.entries.iter().enumerate();
        let others = others.filter(|(at, _)| *at != self.first);
        let first = self.entries.get(self.first).into_iter();
        let entries = first.chain(others.map(|(_, entry)| entry));
        entries.map(|entry| entry.waiting.number)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Inserts a request before those of its workspace and level that may start later.
    fn insert(&mut self, waiting: Waiting, is_late: bool) {
        let level = match (waiting.resumes, is_late) {
            (true, _) => Level::Resumed(waiting.priority),
            (false, false) => Level::Timely(waiting.priority),
            (false, true) => Level::Overdue,
        };
        let workspace = waiting.workspace;
        let first = self.first_start(level, workspace);
        let due = (waiting.latest_start, waiting.number);
        let before = self.entries.iter().rfind(|entry| {
            let other = &entry.waiting;
            entry.is_of(level, workspace) && (other.latest_start, other.number) < due
        });
        let start = before.map_or(first, |entry| fair::finish(entry.start, entry.waiting.cost));
        let entry = Entry {
            level,
            place: 0,
            start,
            waiting,
        };
        let rank = entry.rank();
        let at = self.entries.partition_point(|other| other.rank() < rank);
        self.entries.insert(at, entry);
        self.tag(level, workspace, first);
    }

    /// Start tag of the first waiting request of a workspace, or of its next one if none waits.
    fn first_start(&self, level: Level, workspace: u32) -> Duration {
        let mut entries = self.entries.iter();
        let first = entries.find(|entry| entry.is_of(level, workspace));
        first.map_or_else(|| self.fair.start(level, workspace), |entry| entry.start)
    }

    /// Assigns start tags to the requests of a workspace in their order, and restores the order of the queue.
    fn tag(&mut self, level: Level, workspace: u32, mut start: Duration) {
        let mut is_changed = false;
        let own = self.entries.iter_mut();
        for entry in own.filter(|entry| entry.is_of(level, workspace)) {
            is_changed |= entry.start != start;
            entry.start = start;
            start = fair::finish(start, entry.waiting.cost);
        }
        if is_changed {
            self.entries.sort_by_key(Entry::rank);
        }
    }

    /// Removes the request at `at`. If it was not served, the next one of its workspace gets its start tag.
    fn take(&mut self, at: usize, is_served: bool) -> Waiting {
        let (level, workspace) = (self.entries[at].level, self.entries[at].waiting.workspace);
        let first = self.first_start(level, workspace);
        let waiting = self.entries.remove(at).waiting;
        let mut start = first;
        if is_served {
            self.fair.charge(level, workspace, first, waiting.cost);
            start = fair::finish(first, waiting.cost);
        }
        self.tag(level, workspace, start);
        if !self.entries.iter().any(|entry| entry.level == level) {
            self.fair.forget(level);
        }
        waiting
    }

    fn take_all(&mut self, mut numbers: Vec<u64>) -> Vec<Waiting> {
        if numbers.len() >= MANY {
            numbers.sort_unstable();
            return self.take_many(&numbers);
        }
        let take = |number| self.position(number).map(|at| self.take(at, false));
        numbers.into_iter().filter_map(take).collect()
    }

    /// The same for sorted numbers in one pass: the next request of each workspace gets the start tag of its first one.
    fn take_many(&mut self, numbers: &[u64]) -> Vec<Waiting> {
        // Sorted by level and workspace.
        let mut starts: Vec<((Level, u32), Duration)> = Vec::new();
        for entry in &self.entries {
            let key = (entry.level, entry.waiting.workspace);
            if let Err(at) = starts.binary_search_by_key(&key, |(key, _)| *key) {
                starts.insert(at, (key, entry.start));
            }
        }
        let is_taken = |entry: &mut Entry| numbers.binary_search(&entry.waiting.number).is_ok();
        let taken = self.entries.extract_if(.., is_taken);
        let taken: Vec<Waiting> = taken.map(|entry| entry.waiting).collect();
        for entry in &mut self.entries {
            let key = (entry.level, entry.waiting.workspace);
            if let Ok(at) = starts.binary_search_by_key(&key, |(key, _)| *key) {
                entry.start = starts[at].1;
                starts[at].1 = fair::finish(entry.start, entry.waiting.cost);
            }
        }
        self.entries.sort_by_key(Entry::rank);
        for level in starts.chunk_by(|((left, _), _), ((right, _), _)| left == right) {
            let level = level[0].0 .0;
            if !self.entries.iter().any(|entry| entry.level == level) {
                self.fair.forget(level);
            }
        }
        taken
    }

    /// The requests that have to be removed for the others: those that cannot start in time, or the last one if there
    /// are more than the queue may hold.
    fn in_the_way(&mut self) -> Vec<u64> {
        let (now, rate) = self.predicted;
        let late = wait::plan(&self.entries, wait::Margin::Interval, rate, now).late;
        if !late.is_empty() || self.len() <= self.capacity {
            return self.numbers(&late);
        }
        self.numbers(&[self.len() - 1])
    }

    /// Whether a new request may displace another one: if that is of a later level, or if its workspace keeps at least
    /// `DISPLACING_RATIO` times the waiting slot time of the new request's workspace.
    fn may_displace(&self, number: u64, other: u64) -> bool {
        let (Some(new), Some(other)) = (self.position(number), self.position(other)) else {
            return false;
        };
        let (new, other) = (&self.entries[new], &self.entries[other]);
        if new.level != other.level {
            return new.level < other.level;
        }
        let own = self.waiting_time(new.level, new.waiting.workspace);
        let others = self.waiting_time(other.level, other.waiting.workspace);
        let kept = others.saturating_sub(fair::charged(other.waiting.cost));
        new.waiting.workspace != other.waiting.workspace
            && kept >= own.saturating_mul(DISPLACING_RATIO)
    }

    /// Slot time of the waiting requests of a workspace.
    fn waiting_time(&self, level: Level, workspace: u32) -> Duration {
        let own = self.entries.iter();
        own.filter(|entry| entry.is_of(level, workspace))
            .fold(Duration::ZERO, |start, entry| {
                fair::finish(start, entry.waiting.cost)
            })
    }

    /// Removes the requests that cannot start in time. Each removal changes the order, so the prediction is repeated.
    fn remove_late(&mut self) -> Vec<Waiting> {
        let mut removed = Vec::new();
        loop {
            let late = self.predict();
            if late.is_empty() {
                return removed;
            }
            removed.extend(self.take_all(late));
        }
    }

    /// Predicts the starts of all requests; returns the numbers of those that cannot start in time.
    fn predict(&mut self) -> Vec<u64> {
        let (now, rate) = self.predicted;
        let plan = wait::plan(&self.entries, wait::Margin::None, rate, now);
        self.first = plan.first;
        let entries = self.entries.iter_mut().enumerate();
        entries.for_each(|(at, entry)| entry.place = at);
        self.numbers(&plan.late)
    }

    fn numbers(&self, indices: &[usize]) -> Vec<u64> {
        let number = |at: &usize| self.entries[*at].waiting.number;
        indices.iter().map(number).collect()
    }

    fn position(&self, number: u64) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.waiting.number == number)
    }

    /// Retry time of a request that is served after `before` others.
    fn retry(&mut self, before: usize) -> Duration {
        let (_, rate) = self.predicted;
        wait::retry(before.saturating_add(1), rate, self.random.f64())
    }

    fn with_retry(&mut self, removed: Vec<Waiting>) -> Vec<(Waiting, Duration)> {
        let before = self.len();
        let removed = removed.into_iter();
        removed
            .map(|waiting| (waiting, self.retry(before)))
            .collect()
    }
}
