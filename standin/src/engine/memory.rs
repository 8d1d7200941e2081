//! Accounting of memory.

use std::time::Instant;

use crate::engine::journal::Kind;
use crate::engine::report::Memory;
use crate::engine::state::State;

/// Accounting of memory.
impl State {
    /// Empties the prefix cache.
    pub(super) fn clear_cache(&mut self) {
        self.cache.clear();
        self.journal.add(Kind::Cleared, &[], Instant::now());
    }

    /// Memory held, by kind.
    pub(super) fn memory(&self) -> Memory {
        let streams = self.streams.iter().map(|stream| {
            let prompt = stream.reserved.saturating_sub(stream.max_tokens);
            prompt + stream.generated()
        });
        Memory {
            cache: self.cache.tokens(),
            handles: self.kept(),
            limit: self.settings.memory,
            reserved: self.reserved(),
            streams: streams.sum(),
        }
    }

    /// Records a load report.
    pub(super) fn note(&mut self) {
        let memory = self.memory();
        self.peak_memory = self
            .peak_memory
            .max(memory.cache + memory.handles + memory.reserved);
        let waiting = self.waiting();
        self.reports
            .add(&self.warmth, memory, self.streams.len(), waiting);
    }

    /// Memory of local handles in tokens.
    pub(super) fn kept(&self) -> u64 {
        let local = self.handles.iter().filter(|handle| !handle.remote);
        local.map(|handle| handle.tokens).sum()
    }

    /// Evicts cache blocks until `need` tokens fit.
    pub(super) fn reserve(&mut self, need: u64) {
        let held = self.reserved() + self.kept() + need;
        let removed = self.cache.trim(self.settings.memory.saturating_sub(held));
        self.journal.add(Kind::Removed, &removed, Instant::now());
    }

    pub(super) fn reserved(&self) -> u64 {
        self.streams.iter().map(|stream| stream.reserved).sum()
    }

    /// Adds blocks to the prefix cache as far as memory is left.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        let stored = self.cache.insert(blocks);
        self.journal.add(Kind::Stored, &stored, Instant::now());
        self.reserve(0);
    }
}
