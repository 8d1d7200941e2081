use std::time::Duration;

use super::TargetKey;

/// Time for which a target that cannot be reached is avoided at first; a crashed one is back after seconds at least.
const FIRST_EJECTION: Duration = Duration::from_millis(1_000);

/// Longest time for which a target is avoided: long enough that trials cost little, short enough that a target that
/// recovered is used again soon.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.2;

/// Share of failures above which a target is avoided. Services answer one request in seven with an error of their own
/// on ordinary days; the share of a sound one rarely passes this.
const FAILURE_THRESHOLD: f64 = 0.55;

/// Which targets fail, learned from answers only.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Sorted by target.
    targets: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Ejections in a row.
    count: u32,
    failures: f64,
    /// End of an ejection that this instance found itself; only these are told to others.
    ejected_until: Duration,
    /// Whether it was not reached by its last connection.
    unreachable: bool,
    target: TargetKey,
    until: Duration,
}

impl Health {
    /// Notes an answer, or that a target failed while it answered.
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

    /// Notes that a target cannot be reached.
    pub fn mark_unreachable(&mut self, target: TargetKey, now: Duration) {
        let entry = self.entry(target);
        entry.unreachable = true;
        entry.eject(now);
    }

    /// Notes that a lost target can be reached again.
    pub fn mark_reachable(&mut self, target: TargetKey) {
        let entry = self.entry(target);
        if entry.unreachable {
            entry.unreachable = false;
            entry.failures = 0.0;
            entry.ejected_until = Duration::ZERO;
            entry.until = Duration::ZERO;
        }
    }

    /// Notes that a target fell silent, or is named as the cause of another one's failure.
    pub fn eject(&mut self, target: TargetKey, now: Duration) {
        self.entry(target).eject(now);
    }

    /// Whether a target was not reached by its last connection.
    pub fn is_unreachable(&self, target: TargetKey) -> bool {
        self.find(target).is_some_and(|entry| entry.unreachable)
    }

    /// Takes what another instance found.
    pub fn receive(&mut self, target: TargetKey, left: Duration, now: Duration) {
        let entry = self.entry(target);
        entry.until = entry.until.max(now + left.min(MAX_EJECTION));
    }

    /// Whether the target is to be avoided.
    pub fn is_suspect(&self, target: TargetKey, now: Duration) -> bool {
        self.find(target)
            .is_some_and(|entry| entry.unreachable || now < entry.until)
    }

    /// Targets that this instance found failing, with the time left.
    pub fn suspects(&self, now: Duration) -> Vec<(TargetKey, Duration)> {
        self.targets
            .iter()
            .filter(|entry| now < entry.ejected_until)
            .map(|entry| (entry.target, entry.ejected_until - now))
            .collect()
    }

    /// Forgets a target, for example one that started anew.
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
                ejected_until: Duration::ZERO,
                unreachable: false,
                target,
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
        // One failure more after the pause avoids it again.
        self.failures = FAILURE_THRESHOLD;
        self.ejected_until = now + time;
        self.until = self.ejected_until;
    }
}
