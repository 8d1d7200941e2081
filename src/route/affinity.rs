use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::pool::{mean, pool};
use super::{Candidate, Policy, Requirements};
use crate::target::Class;

/// Prefix affinity by rendezvous hashing with bounded load, and packing of long prompts.
#[derive(Clone, Debug)]
pub struct Affinity {
    /// Whether long prompts go to few targets, which other ones avoid.
    pub packing: bool,
    turn: u64,
}

impl Affinity {
    /// Largest load of a chosen target, as a factor of the mean.
    const BOUND: f64 = 1.25;
    /// Differences of predicted waits below this are noise.
    const GRACE: Duration = Duration::from_millis(50);
    /// Long prompts on each packed target before more targets are used.
    const DEPTH: u32 = 2;
    /// One in this many targets gets the long prompts.
    const PACK: usize = 4;

    /// An affinity policy with packing on or off.
    pub fn new(packing: bool) -> Affinity {
        Affinity { packing, turn: 0 }
    }

    /// The first targets by name that have the fewest long prompts.
    fn pack(pool: &[usize], candidates: &[Candidate]) -> Option<usize> {
        let mut order = pool.to_vec();
        order.sort_by(|a, b| candidates[*a].target.cmp(&candidates[*b].target));
        let least = |part: &[usize]| {
            part.iter()
                .copied()
                .min_by_key(|index| candidates[*index].long())
        };
        let few = least(&order[..pool.len().div_ceil(Affinity::PACK)])?;
        if candidates[few].long() < Affinity::DEPTH {
            return Some(few);
        }
        least(&order)
    }

    /// The highest hash among `within`.
    fn spread(
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
        self.spread(requirements, &within, candidates)
    }

    fn uses_owner(&self) -> bool {
        true
    }
}

/// Targets without a long prompt in prefill, or all if there are none. The bound comes first: otherwise other prompts
/// would overload the few targets without long ones. Medium prompts need this as much as short ones: no part of a
/// target is reserved for them.
fn without_long(within: Vec<usize>, candidates: &[Candidate]) -> Vec<usize> {
    let has_no_long = |index: &usize| candidates[*index].long() == 0;
    if !within.iter().any(has_no_long) {
        return within;
    }
    within.into_iter().filter(has_no_long).collect()
}

/// Targets whose count of requests, with this one, and whose predicted wait are at most 1.25 × the mean. The count
/// alone decides if no target meets both; the least loaded one always meets it.
fn within_bound(pool: &[usize], candidates: &[Candidate]) -> Vec<usize> {
    let requests = |index: &usize| candidates[*index].requests().map(f64::from);
    let backlog = |index: &usize| {
        let load = candidates[*index].load.as_ref()?;
        Some(load.backlog.as_secs_f64())
    };
    let mean_requests = mean(pool.iter().map(requests));
    let mean_backlog = mean(pool.iter().map(backlog));
    let most = (Affinity::BOUND * (mean_requests + 1.0 / pool.len() as f64)).ceil();
    let longest = Affinity::BOUND * mean_backlog + Affinity::GRACE.as_secs_f64();
    let few = |index: &usize| requests(index).unwrap_or(mean_requests) + 1.0 <= most;
    let soon = |index: &usize| backlog(index).unwrap_or(mean_backlog) <= longest;
    let keep = |matches: &dyn Fn(&usize) -> bool| -> Vec<usize> {
        pool.iter()
            .copied()
            .filter(|index| matches(index))
            .collect()
    };
    let both = keep(&|index| few(index) && soon(index));
    if !both.is_empty() {
        return both;
    }
    let count = keep(&few);
    if count.is_empty() {
        pool.to_vec()
    } else {
        count
    }
}
