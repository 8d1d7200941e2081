use std::time::Duration;

/// A request that waits for a slot. Times are those of the allocator's clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// When the request arrived.
    pub arrival: Duration,
    /// Slot time that it is expected to take.
    pub cost: Duration,
    /// Latest start with which it meets its objective.
    pub latest_start: Duration,
    /// When its caller stops waiting.
    pub leaves: Duration,
    /// Unique at its allocator.
    pub number: u64,
    /// Priority, 0 first.
    pub priority: u8,
    /// Whether its caller has received events already.
    pub resumes: bool,
    /// Key of the workspace.
    pub workspace: u32,
}

/// What the queue decided about a request that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request waits.
    Queued,
    /// The request cannot start in time.
    Refused {
        /// Time after which the caller should retry.
        retry: Duration,
    },
}

/// Group of requests among which workspaces are served in fair order. Lower ones come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Level {
    /// Streams whose callers have received events, by priority.
    Resumed(u8),
    /// Requests that can still start in time, by priority.
    Timely(u8),
    /// Requests that arrived after their latest start, while nothing waited.
    Overdue,
}

impl Level {
    pub(super) fn is_resumed(self) -> bool {
        matches!(self, Level::Resumed(_))
    }

    /// Whether requests of this level wait until their callers leave.
    pub(super) fn has_no_limit(self) -> bool {
        !matches!(self, Level::Timely(_))
    }
}

/// A waiting request with its place in the order.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) level: Level,
    /// Index at the last prediction.
    pub(super) place: usize,
    /// Start tag of fair queueing.
    pub(super) start: Duration,
    pub(super) waiting: Waiting,
}

impl Entry {
    pub(super) fn rank(&self) -> (Level, Duration, Duration, u64) {
        let waiting = &self.waiting;
        (self.level, self.start, waiting.latest_start, waiting.number)
    }

    pub(super) fn is_of(&self, level: Level, workspace: u32) -> bool {
        self.level == level && self.waiting.workspace == workspace
    }
}
