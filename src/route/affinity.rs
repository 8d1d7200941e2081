use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::pool::{mean, pool};
use super::{Candidate, Policy, Requirements};
use crate::target::Class;

/// Routes equal prefixes to the same target by rendezvous hashing with bounded loads, and packs long prompts.
#[derive(Clone, Debug)]
pub struct Affinity {
    /// Whether long prompts go to few targets, which other prompts avoid.
    pub packing: bool,
    /// Hashed in place of a missing prefix, which spreads such requests over the targets.
    turn: u64,
}

impl Affinity {
    /// Largest load of a chosen target, as a multiple of the mean.
    const MAX_LOAD: f64 = 1.25;
    /// Differences between predicted waits below this are ignored as noise.
    const WAIT_TOLERANCE: Duration = Duration::from_millis(50);
    /// Long prompts on each packed target before further targets are used.
    const MAX_LONG: u32 = 2;
    /// Long prompts are packed on one in this many targets.
    const PACKED_ONE_IN: usize = 4;

    /// Creates the policy with packing on or off.
    pub fn new(packing: bool) -> Affinity {
        Affinity { packing, turn: 0 }
    }

    /// The target for a long prompt: the one with the fewest long prompts among the first by name, or among all if each
    /// of the first has [`Affinity::MAX_LONG`].
    fn pack(pool: &[usize], candidates: &[Candidate]) -> Option<usize> {
        let mut order = pool.to_vec();
        order.sort_by(|a, b| candidates[*a].target.cmp(&candidates[*b].target));
        let least = |part: &[usize]| {
            part.iter()
                .copied()
                .min_by_key(|index| candidates[*index].long())
        };
        let packed = least(&order[..pool.len().div_ceil(Affinity::PACKED_ONE_IN)])?;
        if candidates[packed].long() < Affinity::MAX_LONG {
            return Some(packed);
        }
        least(&order)
    }

    /// The target with the highest rendezvous hash among `within`.
    fn highest_hash(
        &mut self,
        requirements: &Requirements,
        within: &[usize],
        candidates: &[Candidate],
    ) -> Option<usize> {
        let hash = requirements.prefix.first().copied().unwrap_or(self.turn);
        self.turn = self.turn.wrapping_add(1);
        within
            .iter()
            .copied()
            .max_by_key(|index| xxh3_64_with_seed(candidates[*index].target.as_bytes(), hash))
    }
}

impl Default for Affinity {
    fn default() -> Affinity {
        Affinity::new(true)
    }
}

impl Policy for Affinity {
    fn choose(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        _now: Duration,
    ) -> Option<usize> {
        let pool = pool(requirements, candidates)?;
        if self.packing && requirements.class == Class::Long {
            return Affinity::pack(&pool, candidates);
        }
        let mut within = within_bound(&pool, candidates);
        if self.packing {
            within = without_long(within, candidates);
        }
        self.highest_hash(requirements, &within, candidates)
    }

    fn uses_owner(&self) -> bool {
        true
    }
}

/// The targets of `within` without a long prompt in prefill, or all of them if none is without. The load bound is
/// applied first, because otherwise the other prompts would overload the few targets without long ones. This matters
/// for medium prompts as much as for short ones, because no part of a target is reserved for them.
fn without_long(within: Vec<usize>, candidates: &[Candidate]) -> Vec<usize> {
    let has_no_long = |index: &usize| candidates[*index].long() == 0;
    if !within.iter().any(has_no_long) {
        return within;
    }
    within.into_iter().filter(has_no_long).collect()
}

/// Targets whose number of requests, including this one, is at most [`Affinity::MAX_LOAD`] times the mean, and whose
/// predicted wait is at most that multiple of its mean plus [`Affinity::WAIT_TOLERANCE`]. If no target meets both bounds, only the number of requests counts; the least loaded target always
/// meets that bound.
fn within_bound(pool: &[usize], candidates: &[Candidate]) -> Vec<usize> {
    let requests = |index: &usize| candidates[*index].requests().map(f64::from);
    let backlog = |index: &usize| {
        let load = candidates[*index].load.as_ref()?;
        Some(load.backlog.as_secs_f64())
    };
    let mean_requests = mean(pool.iter().map(requests));
    let mean_backlog = mean(pool.iter().map(backlog));
    let max_requests = (Affinity::MAX_LOAD * (mean_requests + 1.0 / pool.len() as f64)).ceil();
    let max_backlog = Affinity::MAX_LOAD * mean_backlog + Affinity::WAIT_TOLERANCE.as_secs_f64();
    let has_few_requests =
        |index: &usize| requests(index).unwrap_or(mean_requests) + 1.0 <= max_requests;
    let has_short_backlog = |index: &usize| backlog(index).unwrap_or(mean_backlog) <= max_backlog;
    let keep = |matches: &dyn Fn(&usize) -> bool| -> Vec<usize> {
        pool.iter()
            .copied()
            .filter(|index| matches(index))
            .collect()
    };
    let both = keep(&|index| has_few_requests(index) && has_short_backlog(index));
    if !both.is_empty() {
        return both;
    }
    let by_requests = keep(&has_few_requests);
    if by_requests.is_empty() {
        pool.to_vec()
    } else {
        by_requests
    }
}
