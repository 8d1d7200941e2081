use std::time::Duration;

use super::pool::{mean, pool};
use super::{Candidate, Policy, Requirements};

/// Baseline policy: the target with the fewest requests by its last known load; equally loaded targets take turns.
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
        let requests = |index: &usize| candidates[*index].requests().map(f64::from);
        let mean = mean(pool.iter().map(requests));
        let load = |index: &usize| requests(index).unwrap_or(mean);
        let turn = self.turn % pool.len();
        self.turn = self.turn.wrapping_add(1);
        let (last, first) = pool.split_at(turn);
        first
            .iter()
            .chain(last)
            .copied()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    fn uses_owner(&self) -> bool {
        false
    }
}
