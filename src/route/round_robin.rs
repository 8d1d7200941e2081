use std::time::Duration;

use super::pool::pool;
use super::{Candidate, Policy, Requirements};

/// Baseline policy: all targets in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        _now: Duration,
    ) -> Option<usize> {
        let pool = pool(requirements, candidates)?;
        let index = pool[self.turn % pool.len()];
        self.turn = self.turn.wrapping_add(1);
        Some(index)
    }

    fn uses_owner(&self) -> bool {
        false
    }
}
