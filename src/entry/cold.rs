use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetKey;

/// The bound on a cold target counts requests within any second.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the bound that is used for targets that may turn cold; the rest covers instances that are not known yet.
const USED_SHARE: f64 = 0.9;

/// Sends to cold targets, limited so that all instances together keep the bound without a word between them.
///
/// An instance takes an equal part of what the target tolerates. Where there are more instances than requests a second,
/// only those with the highest hash of instance and target send at all. `instances` are all that are known, in touch or
/// not: two views of the membership then differ by few.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: Vec<(TargetKey, VecDeque<Duration>)>,
}

impl ColdLimiter {
    /// How many requests a second this instance may send to a cold target that tolerates `per_s`.
    pub fn share(target: TargetKey, per_s: f64, me: &str, instances: &[String]) -> usize {
        let tolerated = per_s.max(1.0) as usize;
        let count = instances.len().max(1);
        if count <= tolerated {
            return tolerated / count;
        }
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), u64::from(target));
        let own = weight(me);
        let before = instances.iter().filter(|name| weight(name) > own).count();
        usize::from(before < tolerated)
    }

    /// How many requests a second this instance may send to a target that is not known to be cold, but may turn cold
    /// without a word. `bound` holds for all instances together; in a fleet of more instances than that each one may
    /// still send one, since the slots of a target are then the tighter limit.
    pub fn warm_share(bound: f64, instances: usize) -> usize {
        (bound * USED_SHARE / instances.max(1) as f64).max(1.0) as usize
    }

    /// Whether one more request may be sent now, with `share` allowed a second.
    pub fn has_room(&self, target: TargetKey, share: usize, now: Duration) -> bool {
        let found = self.sent.binary_search_by_key(&target, |(key, _)| *key);
        let Ok(at) = found else {
            return share > 0;
        };
        let sent = self.sent[at].1.iter().filter(|at| now < **at + WINDOW);
        sent.count() < share
    }

    /// Counts a request that is sent now to any target; a target may turn cold without a word.
    pub fn count(&mut self, target: TargetKey, now: Duration) {
        let found = self.sent.binary_search_by_key(&target, |(key, _)| *key);
        let at = found.unwrap_or_else(|at| {
            self.sent.insert(at, (target, VecDeque::new()));
            at
        });
        let times = &mut self.sent[at].1;
        times.push_back(now);
        while times.front().is_some_and(|at| *at + WINDOW <= now) {
            times.pop_front();
        }
    }
}
