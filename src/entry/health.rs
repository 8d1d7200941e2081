use std::time::Duration;

use super::TargetKey;

/// Time of a first ejection; a crashed target takes at least seconds to return.
const FIRST_EJECTION: Duration = Duration::from_millis(1_000);

/// Maximum time of an ejection: long enough that trials cost little, short enough that a recovered target is used again
/// soon.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.2;

/// Share of failures from which a target is ejected. A service may answer one request in seven with an error in normal
/// operation; the average of a healthy target rarely exceeds this value.
const FAILURE_THRESHOLD: f64 = 0.55;

/// Ejects targets that fail, judged by the outcomes of requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Sorted by target.
    targets: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Consecutive ejections.
    count: u32,
    failures: f64,
    /// End of the last ejection by this instance; only these are reported to others.
    own_until: Duration,
    target: TargetKey,
    /// Whether the last connection attempt failed.
    unreachable: bool,
    until: Duration,
}

impl Health {
    /// Records an outcome: `ok` for an answer, not `ok` for a server error or a failure while the target answered.
    pub fn record(&mut self, target: TargetKey, ok: bool, now: Duration) {
        let entry = self.entry(target);
        let outcome = if ok { 0.0 } else { 1.0 };
        entry.failures += NEWEST_WEIGHT * (outcome - entry.failures);
        if ok && entry.failures < FAILURE_THRESHOLD / 2.0 {
            entry.count = 0;
        }
        if !ok && entry.failures >= FAILURE_THRESHOLD {
            entry.eject(now);
        }
    }

    /// Records that a target did not accept a connection.
    pub fn mark_unreachable(&mut self, target: TargetKey, now: Duration) {
        let entry = self.entry(target);
        entry.unreachable = true;
        entry.eject(now);
    }

    /// Records that a target accepted a connection.
    pub fn mark_reachable(&mut self, target: TargetKey) {
        let entry = self.entry(target);
        if entry.unreachable {
            entry.unreachable = false;
            entry.failures = 0.0;
            entry.own_until = Duration::ZERO;
            entry.until = Duration::ZERO;
        }
    }

    /// Ejects a target that stopped answering or is named as the cause of another target's failure.
    pub fn eject(&mut self, target: TargetKey, now: Duration) {
        self.entry(target).eject(now);
    }

    /// Whether the last connection attempt to a target failed.
    pub fn is_unreachable(&self, target: TargetKey) -> bool {
        self.find(target).is_some_and(|entry| entry.unreachable)
    }

    /// Applies an ejection that another instance reported.
    pub fn receive(&mut self, target: TargetKey, left: Duration, now: Duration) {
        let entry = self.entry(target);
        entry.until = entry.until.max(now + left.min(MAX_EJECTION));
    }

    /// Whether the target is ejected or unreachable.
    pub fn is_suspect(&self, target: TargetKey, now: Duration) -> bool {
        self.find(target)
            .is_some_and(|entry| entry.unreachable || now < entry.until)
    }

    /// Targets that this instance ejected, with the remaining time.
    pub fn suspects(&self, now: Duration) -> Vec<(TargetKey, Duration)> {
        self.targets
            .iter()
            .filter(|entry| now < entry.own_until)
            .map(|entry| (entry.target, entry.own_until - now))
            .collect()
    }

    /// Forgets a target, for example after a restart.
    pub fn forget(&mut self, target: TargetKey) {
        self.targets.retain(|entry| entry.target != target);
    }

    fn entry(&mut self, target: TargetKey) -> &mut Entry {
        let found = self
            .targets
            .binary_search_by_key(&target, |entry| entry.target);
        let at = found.unwrap_or_else(|at| {
            let entry = Entry {
                count: 0,
                failures: 0.0,
                own_until: Duration::ZERO,
                target,
                unreachable: false,
                until: Duration::ZERO,
            };
            self.targets.insert(at, entry);
            at
        });
        &mut self.targets[at]
    }

    fn find(&self, target: TargetKey) -> Option<&Entry> {
        let found = self
            .targets
            .binary_search_by_key(&target, |entry| entry.target);
        self.targets.get(found.ok()?)
    }
}

impl Entry {
    fn eject(&mut self, now: Duration) {
        if now < self.until {
            return;
        }
        let time = FIRST_EJECTION
            .saturating_mul(1 << self.count.min(8))
            .min(MAX_EJECTION);
        self.count += 1;
        // A single failure after the ejection ejects the target again.
        self.failures = FAILURE_THRESHOLD;
        self.own_until = now + time;
        self.until = self.own_until;
    }
}
