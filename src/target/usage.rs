use super::entry::Entry;
use super::running::Running;
use super::Class;
use crate::id::Tokens;

/// Usage of a target's limits. It is computed anew for each decision, so that it cannot drift.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    /// Whether a long prompt is in prefill, or queued between two chunks.
    pub(super) long: bool,
    pub(super) memory: Tokens,
    /// Uncached prefill tokens at the engine.
    pub(super) prefill: Tokens,
    /// Tokens of `prefill` that belong to short prompts.
    pub(super) prefill_short: Tokens,
    pub(super) short_memory: Tokens,
    pub(super) short_slots: u32,
    pub(super) slots: u32,
}

impl Usage {
    /// Adds the slot and the uncached prefill tokens of a running request.
    pub(super) fn add_running(&mut self, running: &Running) {
        let short = running.entry.is_short();
        let uncached = if running.is_prefilling() {
            running.uncached
        } else {
            0
        };
        self.slots += 1;
        self.prefill += uncached;
        if short {
            self.short_slots += 1;
            self.prefill_short += uncached;
        }
        self.long |= running.entry.class == Class::Long && running.is_prefilling();
    }

    /// Adds the memory of a request.
    pub(super) fn add_memory(&mut self, entry: &Entry) {
        let memory = entry.request.memory();
        self.memory = self.memory.saturating_add(memory);
        if entry.is_short() {
            self.short_memory = self.short_memory.saturating_add(memory);
        }
    }
}
