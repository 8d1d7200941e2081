use std::time::Duration;

use super::Ban;
use crate::entry::FragmentKey;

/// Number of failed trials after which it is proven that a fragment crashes targets.
const PROOF: u32 = 2;

/// Time from the first trial of a suspected fragment to the second; each further one doubles it.
pub(super) const FIRST_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the proof to the next trial.
const FIRST_WAIT: Duration = Duration::from_secs(15);

/// Maximum time to the next trial.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Factor by which each trial of a proven fragment extends the time to the next one.
const WAIT_FACTOR: u32 = 16;

/// A restriction of a fragment from its beginning to its next trial: first on suspicion, then proven by trials.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    /// Trials whose target ended while no other did.
    failures: u32,
    /// Beginning of this instance's last trial, until its target ends.
    pending: Option<Duration>,
    pub(super) since: Duration,
    /// Trials so far, on suspicion or since the proof.
    trials: u32,
    pub(super) until: Duration,
}

impl Term {
    /// A suspicion that begins now. Its first trial is due.
    pub(super) fn new(now: Duration) -> Term {
        Term {
            failures: 0,
            pending: None,
            since: now,
            trials: 0,
            until: now,
        }
    }

    /// A proven restriction that begins now.
    pub(super) fn proven(now: Duration) -> Term {
        Term {
            failures: PROOF,
            until: now + FIRST_WAIT,
            ..Term::new(now)
        }
    }

    /// A restriction that another instance reported. It began at the last trial, as far as this instance can know.
    pub(super) fn received(ban: &Ban, now: Duration) -> Term {
        let left = Duration::from_millis(u64::from(ban.left_ms)).min(MAX_WAIT);
        let term = Term {
            failures: ban.failures,
            trials: ban.trials,
            until: now + left,
            ..Term::new(now)
        };
        let since = (now + left).saturating_sub(term.wait());
        Term { since, ..term }
    }

    /// Whether it is proven that the fragment crashes targets.
    pub(super) fn is_proven(&self) -> bool {
        self.failures >= PROOF
    }

    /// Adopts what another instance reported of the same fragment.
    pub(super) fn adopt(&mut self, received: Term) {
        let progress = |term: &Term| (term.is_proven(), term.trials);
        let failures = self.failures.max(received.failures);
        if progress(self) < progress(&received) {
            *self = Term {
                pending: self.pending,
                since: self.since,
                ..received
            };
        }
        self.failures = failures;
    }

    /// Counts a trial that begins now.
    pub(super) fn begin_trial(&mut self, now: Duration) {
        self.trials = self.trials.saturating_add(1);
        self.pending = Some(now);
        self.until = now + self.wait();
    }

    /// Takes back this instance's trial, whose target did not run it. The next one is due.
    pub(super) fn cancel_trial(&mut self, now: Duration) {
        if self.pending.take().is_some() {
            self.trials = self.trials.saturating_sub(1);
            self.until = now;
        }
    }

    /// Ends this instance's trial, whose target ended; returns when it began.
    pub(super) fn end_trial(&mut self) -> Option<Duration> {
        self.pending.take()
    }

    /// Counts a trial that failed.
    pub(super) fn count_failure(&mut self, now: Duration) {
        let was_proven = self.is_proven();
        self.failures = self.failures.saturating_add(1);
        if self.is_proven() && !was_proven {
            self.trials = 0;
            self.until = now + self.wait();
        }
    }

    /// What to tell other instances.
    pub(super) fn report(&self, fragment: FragmentKey, now: Duration) -> Ban {
        Ban {
            failures: self.failures,
            fragment,
            left_ms: self.until.saturating_sub(now).as_millis() as u32,
            trials: self.trials,
        }
    }

    /// Time from the last trial, or from the beginning, to the next trial.
    fn wait(&self) -> Duration {
        let (first, factor) = match (self.is_proven(), self.trials.checked_sub(1)) {
            (true, _) => (FIRST_WAIT, WAIT_FACTOR.saturating_pow(self.trials)),
            (false, Some(before)) => (FIRST_INTERVAL, 2_u32.saturating_pow(before)),
            (false, None) => return Duration::ZERO,
        };
        first.saturating_mul(factor).min(MAX_WAIT)
    }
}
