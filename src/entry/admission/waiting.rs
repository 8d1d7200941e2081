use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::entry::view::millis;
use crate::entry::Prefill;

/// Maximum number of waiting prompts that one instance announces.
pub const MAX_WAITING: usize = 64;

/// Maximum prefill time of a prompt on one engine that is believed: many times what an engine's memory can hold.
const MAX_PREFILL: Duration = Duration::from_secs(600);

/// Bits of a rank that are random; those above them name the service.
const RANDOM_BITS: u32 = 16;

/// A long prompt without a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Prefill time of the whole prompt on one engine.
    pub prefill_time: Duration,
    /// Its service and a random tie-breaker; see [`rank`].
    pub rank: u32,
    /// Arrival.
    pub start: Duration,
}

/// The rank of a waiting prompt. Heartbeats have no field for the service of a prompt, and prompts of different services
/// wait for different engines, so the upper half is a hash of the service.
pub fn rank(service: &str, random: u16) -> u32 {
    let service = xxh3_64(service.as_bytes()) as u32;
    (service << RANDOM_BITS) | u32::from(random)
}

/// Whether a prompt from a heartbeat waits for targets.
pub fn is_waiting(prefill: &Prefill) -> bool {
    prefill.targets.is_empty() && !prefill.finished
}

/// Whether the waiting prompts in a heartbeat can be true.
pub fn is_plausible(prefills: &[Prefill]) -> bool {
    let waiting = prefills.iter().filter(|prefill| is_waiting(prefill));
    let prefill_time = |prefill: &Prefill| Duration::from_millis(u64::from(prefill.part_ms));
    waiting.clone().count() <= MAX_WAITING
        && waiting.map(prefill_time).all(|time| time <= MAX_PREFILL)
}

impl Waiting {
    /// A prompt from a heartbeat.
    pub fn new(prefill: &Prefill, start: Duration) -> Waiting {
        Waiting {
            prefill_time: Duration::from_millis(u64::from(prefill.part_ms)),
            rank: prefill.rank,
            start,
        }
    }

    /// Whether it is ahead of another prompt of its service. Larger prompts are not: they need more free engines at once,
    /// so that smaller ones are placed before them.
    pub fn precedes(&self, other: &Waiting) -> bool {
        self.rank >> RANDOM_BITS == other.rank >> RANDOM_BITS
            && self.prefill_time <= other.prefill_time
            && (self.start, self.rank) < (other.start, other.rank)
    }
}

/// The waiting prompts of this instance.
#[derive(Clone, Debug, Default)]
pub struct Waitlist {
    /// Sorted by number.
    prompts: Vec<(u64, Waiting)>,
}

impl Waitlist {
    /// Adds a prompt, whose number is above all earlier ones.
    pub fn add(&mut self, number: u64, waiting: Waiting) {
        self.prompts.push((number, waiting));
    }

    /// Removes a prompt.
    pub fn remove(&mut self, number: u64) {
        self.prompts.retain(|(known, _)| *known != number);
    }

    /// A prompt.
    pub fn get(&self, number: u64) -> Option<Waiting> {
        let found = self
            .prompts
            .binary_search_by_key(&number, |(number, _)| *number);
        found.ok().map(|at| self.prompts[at].1)
    }

    /// All prompts.
    pub fn all(&self) -> impl Iterator<Item = Waiting> + '_ {
        self.prompts.iter().map(|(_, waiting)| *waiting)
    }

    /// The prompts as they are announced to other instances, sorted by number.
    pub fn announced(&self, now: Duration) -> impl Iterator<Item = Prefill> + '_ {
        let prompts = self.prompts.iter().take(MAX_WAITING);
        prompts.map(move |(number, waiting)| Prefill {
            age_ms: millis(now.saturating_sub(waiting.start)),
            number: *number,
            part_ms: millis(waiting.prefill_time.min(MAX_PREFILL)),
            rank: waiting.rank,
            ..Prefill::default()
        })
    }
}
