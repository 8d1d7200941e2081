use crate::id::Tokens;
use crate::target;

/// Scheduling on targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Prefill tokens dispatched at a time when `chunking` is on.
    pub chunk_tokens: Tokens,
    /// Dispatch long prefills in chunks.
    pub chunking: bool,
    /// Requests that a cold target gets at a time unless its record says otherwise.
    pub cold_limit: u32,
    /// First estimate of the decode rate of one stream in tokens per second.
    pub decode_rate: u64,
    /// Requests that a warm target gets at a time.
    pub limit: u32,
    /// Memory of a target in tokens unless its record says otherwise.
    pub memory_tokens: Tokens,
    /// Pack long prompts on few targets.
    pub packing: bool,
    /// First estimate of the prefill rate of a target in tokens per second.
    pub prefill_rate: u64,
    /// Keep a share of each target for short prompts.
    pub reserve: bool,
    /// Order the queue by slack; off means first in, first out.
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
