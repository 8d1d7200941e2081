use std::time::Duration;

use crate::id::TargetId;

/// When and for how long a target is ejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures that eject a target.
    pub failures: u32,
    /// Duration of a first ejection. It doubles with each further ejection without a success in between.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Largest share of a pool that may be ejected at a time, 0 to 1.
    pub max_share: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failures: 3,
            first_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            max_share: 0.5,
        }
    }
}

/// Targets with consecutive failures, which are ejected from routing for some time.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    settings: Settings,
    /// Targets that failed since their last success, sorted by target.
    targets: Vec<Failing>,
}

#[derive(Clone, Debug)]
struct Failing {
    ejected_at: Duration,
    ejected_until: Duration,
    ejections: u32,
    failures: u32,
    target: TargetId,
}

impl Outliers {
    /// Creates an empty list: no target has failed.
    pub fn new(settings: Settings) -> Outliers {
        Outliers {
            settings,
            targets: Vec::new(),
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, target: &TargetId, ok: bool, now: Duration) {
        match (self.find(target), ok) {
            (Ok(at), true) => {
                self.targets.remove(at);
            }
            (Err(_), true) => {}
            (Ok(at), false) => self.fail(at, now),
            (Err(at), false) => {
                self.targets.insert(at, Failing::new(target));
                self.fail(at, now);
            }
        }
    }

    /// Whether `target` is ejected from a pool of `pool` targets. At most the configured share of the pool is ejected,
    /// and never all of it; the earliest ejections have precedence. Targets of other pools count against the share too,
    /// because only the size of the pool is known here; [`Outliers::ejected_among`] is exact.
    pub fn ejected(&self, target: &TargetId, pool: usize, now: Duration) -> bool {
        let mut ejected = self.active_ejections(now);
        ejected.truncate(self.max_ejected(pool));
        ejected.iter().any(|failing| failing.target == *target)
    }

    /// The ejected targets of `pool`, in order of ejection; never more than the configured share.
    pub fn ejected_among(&self, pool: &[TargetId], now: Duration) -> Vec<TargetId> {
        self.active_ejections(now)
            .into_iter()
            .filter(|failing| pool.contains(&failing.target))
            .take(self.max_ejected(pool.len()))
            .map(|failing| failing.target.clone())
            .collect()
    }

    fn max_ejected(&self, pool: usize) -> usize {
        let share = (pool as f64 * self.settings.max_share.clamp(0.0, 1.0)) as usize;
        share.min(pool.saturating_sub(1))
    }

    /// Records a failure. After an ejection, the first attempt is a probe: a single failure ejects the target again.
    fn fail(&mut self, at: usize, now: Duration) {
        let settings = &self.settings;
        let failing = &mut self.targets[at];
        if failing.ejected_until > now {
            return;
        }
        failing.failures = failing.failures.saturating_add(1);
        if failing.failures < settings.failures && failing.ejections == 0 {
            return;
        }
        let factor = 1u32 << failing.ejections.min(16);
        failing.ejections = failing.ejections.saturating_add(1);
        failing.failures = 0;
        failing.ejected_at = now;
        failing.ejected_until = now
            + settings
                .first_ejection
                .saturating_mul(factor)
                .min(settings.max_ejection);
    }

    /// Targets whose ejection is not over, in order of ejection.
    fn active_ejections(&self, now: Duration) -> Vec<&Failing> {
        let mut ejected: Vec<&Failing> = self
            .targets
            .iter()
            .filter(|failing| failing.ejected_until > now)
            .collect();
        ejected.sort_by(|a, b| (a.ejected_at, &a.target).cmp(&(b.ejected_at, &b.target)));
        ejected
    }

    fn find(&self, target: &TargetId) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|failing| failing.target.cmp(target))
    }
}

impl Failing {
    fn new(target: &TargetId) -> Failing {
        Failing {
            ejected_at: Duration::ZERO,
            ejected_until: Duration::ZERO,
            ejections: 0,
            failures: 0,
            target: target.clone(),
        }
    }
}
