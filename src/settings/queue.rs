use crate::id::Tokens;
use crate::target;

/// Settings for scheduling on targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Tokens per prefill chunk when `chunking` is on.
    pub chunk_tokens: Tokens,
    /// Whether long prefills are dispatched in chunks.
    pub chunking: bool,
    /// Maximum number of concurrent requests on a cold target, unless its record sets one.
    pub cold_limit: u32,
    /// Initial estimate of the decode rate of one stream in tokens per second.
    pub decode_rate: u64,
    /// Maximum number of concurrent requests on a warm target.
    pub limit: u32,
    /// Memory of a target in tokens, unless its record sets one.
    pub memory_tokens: Tokens,
    /// Whether long prompts are packed on few targets.
    pub packing: bool,
    /// Initial estimate of the prefill rate of a target in tokens per second.
    pub prefill_rate: u64,
    /// Whether a share of each target is reserved for short prompts.
    pub reserve: bool,
    /// Whether the queue is ordered by slack; otherwise it is first in, first out.
    pub slack: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            chunk_tokens: 4096,
            chunking: true,
            cold_limit: 2,
            decode_rate: 50,
            limit: 16,
            memory_tokens: 400_000,
            packing: true,
            prefill_rate: 50_000,
            reserve: true,
            slack: true,
        }
    }
}

impl Queue {
    /// Settings of the scheduler of one target.
    pub fn target(&self) -> target::Settings {
        target::Settings {
            chunk: self.chunk_tokens,
            chunking: self.chunking,
            cold_limit: self.cold_limit,
            decode_rate: self.decode_rate,
            limit: self.limit,
            memory: self.memory_tokens,
            packing: self.packing,
            prefill_rate: self.prefill_rate,
            reserve: self.reserve,
            slack: self.slack,
            ..target::Settings::default()
        }
    }
}
