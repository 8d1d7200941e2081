use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetKey;

/// Window in which requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Share of the limit that is used for targets that may turn cold. The rest covers instances that are not known yet.
const USED_SHARE: f64 = 0.9;

/// Limits the requests to cold targets, over all instances together and without coordination.
///
/// Each instance takes an equal share of what the target tolerates. If there are more instances than tolerated requests
/// per second, only the instances with the highest hash of instance and target send at all. The share is computed over
/// all known instances, reachable or not, so that two views of the membership differ in few instances only.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: Vec<(TargetKey, VecDeque<Duration>)>,
}

impl ColdLimiter {
    /// Requests per second that the instance `name` may send to a cold target that tolerates `per_s`.
    pub fn share(target: TargetKey, per_s: f64, name: &str, instances: &[String]) -> usize {
        let tolerated = per_s.max(1.0) as usize;
        let count = instances.len().max(1);
        if count <= tolerated {
            return tolerated / count;
        }
        let weight = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), u64::from(target));
        let own = weight(name);
        let before = instances.iter().filter(|other| weight(other) > own).count();
        usize::from(before < tolerated)
    }

    /// Requests per second that this instance may send to a target that is not known to be cold but may turn cold
    /// unannounced. `bound` is the limit over all instances together. If there are more instances than that, each may
    /// still send one, because the slots of the target are then the tighter limit.
    pub fn warm_share(bound: f64, instances: usize) -> usize {
        (bound * USED_SHARE / instances.max(1) as f64).max(1.0) as usize
    }

    /// Whether another request may be sent now, at `share` requests per second.
    pub fn has_room(&self, target: TargetKey, share: usize, now: Duration) -> bool {
        let found = self.sent.binary_search_by_key(&target, |(key, _)| *key);
        let Ok(at) = found else {
            return share > 0;
        };
        let sent = self.sent[at].1.iter().filter(|at| now < **at + WINDOW);
        sent.count() < share
    }

    /// Counts a request that is sent now. Called for every target, since any may turn cold unannounced.
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
