use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::InstanceId;

/// Seed of the hash by which allocators are chosen.
const SEED: u64 = 0x7065_726d_6974;

/// Time for which an allocator that did not reply is not asked. The end of a process is noticed by its heartbeats after
/// two seconds; one that only stood still is asked again soon.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// A live instance of a domain.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub instance: &'a str,
    /// Share of a processor core in thousandths; 0 if unknown.
    pub processor: u32,
}

/// The allocator of a domain: of the candidates with at least half of the largest processor share, the one with the
/// highest hash. All instances with the same view choose alike.
pub fn elect<'a>(candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let largest = candidates
        .iter()
        .map(|candidate| candidate.processor)
        .max()?;
    let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), SEED);
    candidates
        .iter()
        .filter(|candidate| candidate.processor.saturating_mul(2) >= largest)
        .map(|candidate| candidate.instance)
        .max_by_key(|instance| (weight(instance), *instance))
}

/// Allocators that did not reply.
#[derive(Clone, Debug, Default)]
pub struct Unresponsive {
    until: Vec<(InstanceId, Duration)>,
}

impl Unresponsive {
    /// Records that an instance did not reply.
    pub fn mark(&mut self, instance: &str, now: Duration) {
        self.until
            .retain(|(known, until)| known != instance && now < *until);
        let until = now.saturating_add(UNRESPONSIVE_TIME);
        self.until.push((instance.to_owned(), until));
    }

    /// Whether an instance did not reply lately.
    pub fn contains(&self, instance: &str, now: Duration) -> bool {
        self.until
            .iter()
            .any(|(known, until)| known == instance && now < *until)
    }
}
