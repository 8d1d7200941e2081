use std::time::Duration;

use super::Ban;
use crate::entry::FragmentKey;

/// Time from the beginning of a ban to the first trial.
const FIRST_WAIT: Duration = Duration::from_secs(15);

/// Maximum time to the next trial.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Factor by which each trial extends the time to the next one.
const WAIT_FACTOR: u32 = 16;

/// A ban from its beginning to its next trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    pub(super) since: Duration,
    pub(super) trials: u32,
    pub(super) until: Duration,
}

impl Term {
    /// A ban that begins now.
    pub(super) fn new(now: Duration) -> Term {
        Term {
            since: now,
            trials: 0,
            until: now + wait(0),
        }
    }

    /// A ban that another instance reported. It began at the last trial, as far as this instance can know.
    pub(super) fn received(ban: &Ban, now: Duration) -> Term {
        let left = Duration::from_millis(u64::from(ban.left_ms)).min(MAX_WAIT);
        Term {
            since: (now + left).saturating_sub(wait(ban.trials)),
            trials: ban.trials,
            until: now + left,
        }
    }

    /// Counts a trial that begins now.
    pub(super) fn begin_trial(&mut self, now: Duration) {
        self.trials = self.trials.saturating_add(1);
        self.until = now + wait(self.trials);
    }

    /// What to tell other instances.
    pub(super) fn report(&self, fragment: FragmentKey, now: Duration) -> Ban {
        Ban {
            fragment,
            left_ms: self.until.saturating_sub(now).as_millis() as u32,
            trials: self.trials,
        }
    }
}

/// Time to the next trial after this number of trials.
fn wait(trials: u32) -> Duration {
    let factor = WAIT_FACTOR.saturating_pow(trials);
    FIRST_WAIT.saturating_mul(factor).min(MAX_WAIT)
}
