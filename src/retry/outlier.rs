use std::time::Duration;

use crate::id::TargetId;

/// When and for how long a target is ejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time of a first ejection; each further one without a success in between takes twice as long.
    pub base: Duration,
    /// Failures in a row that eject a target.
    pub failures: u32,
    /// Longest ejection.
    pub longest: Duration,
    /// Share of a pool that may be ejected at a time, 0 to 1.
    pub share: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            base: Duration::from_secs(2),
            failures: 3,
            longest: Duration::from_secs(60),
            share: 0.5,
        }
    }
}

/// Takes targets that fail in a row out of the choice for a while.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    settings: Settings,
    /// Sorted by target; a success removes the entry.
    targets: Vec<Failing>,
}

#[derive(Clone, Debug)]
struct Failing {
    ejections: u32,
    failures: u32,
    since: Duration,
    target: TargetId,
    until: Duration,
}

impl OutlierDetector {
    /// An outlier ejection without any failure seen.
    pub fn new(settings: Settings) -> OutlierDetector {
        OutlierDetector {
            settings,
            targets: Vec::new(),
        }
    }

    /// Takes the outcome of an attempt.
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

    /// Whether `target` is ejected from a pool of `pool` targets. At most the settings' share of the pool is, and
    /// never all of it; those ejected first stay ejected. Targets of other pools count too, because only the size of
    /// the pool is known; [`OutlierDetector::ejected_among`] is exact.
    pub fn ejected(&self, target: &TargetId, pool: usize, now: Duration) -> bool {
        let mut ejected = self.in_force(now);
        ejected.truncate(self.allowed(pool));
        ejected.iter().any(|failing| failing.target == *target)
    }

    /// The targets of `pool` that are ejected, those ejected first first; never more than the settings' share.
    pub fn ejected_among(&self, pool: &[TargetId], now: Duration) -> Vec<TargetId> {
        self.in_force(now)
            .into_iter()
            .filter(|failing| pool.contains(&failing.target))
            .take(self.allowed(pool.len()))
            .map(|failing| failing.target.clone())
            .collect()
    }

    fn allowed(&self, pool: usize) -> usize {
        let share = (pool as f64 * self.settings.share.clamp(0.0, 1.0)) as usize;
        share.min(pool.saturating_sub(1))
    }

    /// After an ejection a single failure ejects again: the first attempt is a probe.
    fn fail(&mut self, at: usize, now: Duration) {
        let settings = &self.settings;
        let failing = &mut self.targets[at];
        if failing.until > now {
            return;
        }
        failing.failures = failing.failures.saturating_add(1);
        if failing.failures < settings.failures && failing.ejections == 0 {
            return;
        }
        let factor = 1u32 << failing.ejections.min(16);
        failing.ejections = failing.ejections.saturating_add(1);
        failing.failures = 0;
        failing.since = now;
        failing.until = now + settings.base.saturating_mul(factor).min(settings.longest);
    }

    /// Ejections that are not over, in the order of their start.
    fn in_force(&self, now: Duration) -> Vec<&Failing> {
        let mut ejected: Vec<&Failing> = self
            .targets
            .iter()
            .filter(|failing| failing.until > now)
            .collect();
        ejected.sort_by(|a, b| (a.since, &a.target).cmp(&(b.since, &b.target)));
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
            ejections: 0,
            failures: 0,
            since: Duration::ZERO,
            target: target.clone(),
            until: Duration::ZERO,
        }
    }
}
