use super::fit::unreserved;
use super::Class;
use crate::id::Tokens;

/// Limits, rates and switches of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seconds of slack credited per second of waiting.
    pub ageing: f64,
    /// Tokens that one prefix hash covers.
    pub block: Tokens,
    /// Uncached tokens per prefill chunk.
    pub chunk: Tokens,
    /// Whether prompts with more than `chunk` uncached tokens are prefilled in chunks.
    pub chunking: bool,
    /// Maximum number of running requests while the target is cold; 0 counts as 1.
    pub cold_limit: u32,
    /// Factor by which service times on a cold target are predicted to be longer.
    pub cold_slowdown: f64,
    /// Initial estimate of the decode rate of one stream, in tokens/s.
    pub decode_rate: u64,
    /// Maximum number of running requests.
    pub limit: u32,
    /// Memory for prompts and generated tokens, in tokens.
    pub memory: Tokens,
    /// Whether at most one long prompt is in prefill at a time.
    pub packing: bool,
    /// Uncached prefill tokens that may be outstanding at the engine; a larger chunk is sent alone.
    pub prefill_limit: Tokens,
    /// Initial estimate of the prefill rate, in tokens/s.
    pub prefill_rate: u64,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Share of the queue that one workspace may fill, with `slack`.
    pub queue_share: f64,
    /// Whether `reserve_share` of slots, memory and prefill is kept for short prompts.
    pub reserve: bool,
    /// Share kept for short prompts, 0 to 1.
    pub reserve_share: f64,
    /// Whether the queue is ordered by slack and shared fairly between workspaces; otherwise first in, first out.
    pub slack: bool,
}

impl Settings {
    /// At most one part in this many of the unreserved memory is kept from gang holds, for medium prompts.
    const MEDIUM_PART: Tokens = 8;

    /// Memory out of `memory` that a prompt of `class` may take on an empty target.
    pub fn capacity(&self, class: Class, memory: Tokens) -> Tokens {
        match class {
            Class::Long | Class::Medium => unreserved(memory, self),
            Class::Short => memory,
        }
    }

    /// Part of the unreserved memory `capacity` that gang holds may take. They leave enough for a medium prompt, which
    /// otherwise would wait until the whole gang has ended.
    pub fn holdable(&self, capacity: Tokens) -> Tokens {
        if !self.reserve {
            return capacity;
        }
        capacity - Class::MEDIUM_MAX.min(capacity / Settings::MEDIUM_PART)
    }

    /// Turns off chunking, packing, the reserve and ordering by slack: first in, first out.
    pub fn fifo(self) -> Settings {
        Settings {
            chunking: false,
            packing: false,
            reserve: false,
            slack: false,
            ..self
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ageing: 0.1,
            block: 256,
            chunk: 4_096,
            chunking: true,
            cold_limit: 2,
            cold_slowdown: 2.0,
            decode_rate: 50,
            limit: 32,
            memory: 400_000,
            packing: true,
            // Two chunks keep the engine busy; what waits at the engine can no longer be reordered.
            prefill_limit: 8_192,
            prefill_rate: 20_000,
            queue_limit: 1_024,
            queue_share: 0.5,
            reserve: true,
            reserve_share: 0.25,
            slack: true,
        }
    }
}
