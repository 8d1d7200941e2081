//! Memory accounting.

use std::time::Instant;

use crate::engine::journal::Kind;
use crate::engine::report::Memory;
use crate::engine::state::State;

impl State {
    /// Empties the prefix cache.
    pub(super) fn clear_cache(&mut self) {
        self.cache.clear();
        self.journal.add(Kind::Cleared, &[], Instant::now());
    }

    /// Memory in use, by kind.
    pub(super) fn memory(&self) -> Memory {
        let streams = self.streams.iter().map(|stream| {
            let prompt = stream.reserved.saturating_sub(stream.max_tokens);
            prompt + stream.generated()
        });
        Memory {
            cache: self.cache.tokens(),
            handles: self.handle_tokens(),
            limit: self.settings.memory,
            reserved: self.reserved_tokens(),
            streams: streams.sum(),
        }
    }

    /// Records the current load as the newest load report.
    pub(super) fn report_load(&mut self) {
        let memory = self.memory();
        self.peak_memory = self
            .peak_memory
            .max(memory.cache + memory.handles + memory.reserved);
        let waiting = self.waiting();
        self.reports
            .add(&self.warmth, memory, self.streams.len(), waiting);
    }

    /// Memory of local handles in tokens.
    pub(super) fn handle_tokens(&self) -> u64 {
        let local = self.handles.iter().filter(|handle| !handle.remote);
        local.map(|handle| handle.tokens).sum()
    }

    /// Evicts cache blocks until `need` tokens of memory are free.
    pub(super) fn evict_for(&mut self, need: u64) {
        let held = self.reserved_tokens() + self.handle_tokens() + need;
        let removed = self.cache.trim(self.settings.memory.saturating_sub(held));
        self.journal.add(Kind::Removed, &removed, Instant::now());
    }

    /// Memory reserved for running streams, in tokens.
    pub(super) fn reserved_tokens(&self) -> u64 {
        self.streams.iter().map(|stream| stream.reserved).sum()
    }

    /// Adds the blocks of a prefix to the cache, as far as there is memory for them.
    pub(super) fn cache_blocks(&mut self, blocks: &[u64]) {
        let stored = self.cache.insert(blocks);
        self.journal.add(Kind::Stored, &stored, Instant::now());
        self.evict_for(0);
    }
}
