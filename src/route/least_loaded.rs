use std::time::Duration;

use super::pool::{mean, pool};
use super::{Candidate, Policy, Requirements};

/// Baseline: the target with the fewest requests by the last known load; equal ones take turns.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded {
    turn: usize,
}

impl Policy for LeastLoaded {
    fn choose(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        _now: Duration,
    ) -> Option<usize> {
        let pool = pool(requirements, candidates)?;
        let known = |index: &usize| candidates[*index].requests().map(f64::from);
        let mean = mean(pool.iter().map(known));
        let load = |index: &usize| known(index).unwrap_or(mean);
        let turn = self.turn % pool.len();
        self.turn = self.turn.wrapping_add(1);
        let (late, early) = pool.split_at(turn);
        early
            .iter()
            .chain(late)
            .copied()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    fn uses_owner(&self) -> bool {
        false
    }
}
