use std::time::Duration;

use super::term::Term;
use crate::entry::{FragmentKey, TargetKey};

/// Time within which reports of the end of one target are about the same crash.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// Maximum number of crashes that are remembered, the latest ones.
const MAX_CRASHES: usize = 32;

/// What is known of a fragment at which targets crashed.
#[derive(Clone, Debug)]
pub(super) struct Fragment {
    /// Last answer at any instance.
    pub(super) answered: Option<Duration>,
    pub(super) restriction: Option<Term>,
    /// Time of the last answer that cleared the fragment.
    pub(super) cleared: Option<Duration>,
    /// In order of time.
    pub(super) crashes: Vec<Observation>,
    pub(super) key: FragmentKey,
}

/// The end of a target near a fragment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) at: Duration,
    /// Whether this instance saw it.
    pub(super) own: bool,
    pub(super) target: TargetKey,
}

impl Fragment {
    /// Adds a crash; false if it is known already, or if the fragment was answered since.
    pub(super) fn add(&mut self, crash: Observation) -> bool {
        if self.answered.is_some_and(|answered| crash.at <= answered) {
            self.cleared = self.answered;
            return false;
        }
        let mut crashes = self.crashes.iter_mut();
        if let Some(same) = crashes.find(|seen| seen.is_same(&crash)) {
            same.own |= crash.own;
            return false;
        }
        let at = self.crashes.partition_point(|seen| seen.at <= crash.at);
        self.crashes.insert(at, crash);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        true
    }

    /// Notes an answer: crashes and restrictions from before it do not count against the fragment.
    pub(super) fn clear(&mut self, at: Duration) {
        self.answered = self.answered.max(Some(at));
        let before = (self.crashes.len(), self.restriction.is_some());
        self.crashes.retain(|seen| at < seen.at);
        self.restriction = self.restriction.filter(|term| at < term.since);
        if before != (self.crashes.len(), self.restriction.is_some()) {
            self.cleared = Some(at);
        }
    }

    /// Whether it was near this crash.
    pub(super) fn saw(&self, crash: &Observation) -> bool {
        self.crashes.iter().any(|seen| seen.is_same(crash))
    }
}

impl Observation {
    /// Whether both are about the same crash.
    pub(super) fn is_same(&self, other: &Observation) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < SAME_CRASH
    }
}
