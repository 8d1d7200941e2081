use super::entry::Entry;
use super::flight::Flight;
use super::Class;
use crate::id::Tokens;

/// What is in use of a target's limits; recomputed for each decision so that it cannot drift.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    /// Whether a long prompt is in prefill, between two pieces included.
    pub(super) long: bool,
    pub(super) memory: Tokens,
    /// Uncached prefill tokens at the engine.
    pub(super) prefill: Tokens,
    /// The part of `prefill` that belongs to short prompts.
    pub(super) prefill_short: Tokens,
    pub(super) short_memory: Tokens,
    pub(super) short_slots: u32,
    pub(super) slots: u32,
}

impl Usage {
    /// Adds slot and prefill of a piece at the engine.
    pub(super) fn fly(&mut self, flight: &Flight) {
        let short = flight.entry.is_short();
        let piece = if flight.is_prefilling() {
            flight.piece
        } else {
            0
        };
        self.slots += 1;
        self.prefill += piece;
        if short {
            self.short_slots += 1;
            self.prefill_short += piece;
        }
        self.long |= flight.entry.class == Class::Long && flight.is_prefilling();
    }

    /// Adds the memory of a request.
    pub(super) fn place(&mut self, entry: &Entry) {
        let memory = entry.request.memory();
        self.memory = self.memory.saturating_add(memory);
        if entry.is_short() {
            self.short_memory = self.short_memory.saturating_add(memory);
        }
    }
}
