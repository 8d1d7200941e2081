use super::entry::Entry;
use super::usage::Usage;
use super::Settings;
use crate::id::Tokens;

/// Whether a queued request can go to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fit {
    /// Another long prompt is in prefill.
    Busy,
    /// A limit is reached; capacity is freed as running requests end.
    Full,
    /// It does not fit even if all requests of this scheduler end, so waiting for them does not help.
    Never,
    /// It can be sent now.
    Now,
}

/// Limits and usage that one scheduling decision is based on.
#[derive(Clone, Debug)]
pub(super) struct Bounds<'a> {
    /// Memory taken by foreign streams and gang holds.
    pub(super) fixed_memory: Tokens,
    /// Slots taken by foreign streams.
    pub(super) fixed_slots: u32,
    pub(super) memory: Tokens,
    pub(super) settings: &'a Settings,
    pub(super) slots: u32,
    pub(super) usage: Usage,
}

impl Bounds<'_> {
    pub(super) fn fit(&self, entry: &Entry, to: Tokens, aged: bool) -> Fit {
        let settings = self.settings;
        let long = entry.class == super::Class::Long;
        if long && !entry.allocated && self.usage.long && (settings.packing || settings.reserve) {
            return Fit::Busy;
        }
        let need = if entry.allocated {
            0
        } else {
            entry.request.memory()
        };
        let (memory, slots) = self.available(entry.is_short());
        if need.saturating_add(self.fixed_memory) > memory || self.fixed_slots >= slots {
            return Fit::Never;
        }
        if !self.has_room(entry.is_short(), need, memory, slots) {
            return Fit::Full;
        }
        if self.may_prefill(entry, entry.uncached(to), aged) {
            Fit::Now
        } else {
            Fit::Full
        }
    }

    /// Whether a short request fits into the reserve for short prompts.
    pub(super) fn fits_reserve(&self, entry: &Entry, to: Tokens) -> bool {
        if !self.settings.reserve || !entry.is_short() {
            return false;
        }
        let memory = self
            .usage
            .short_memory
            .saturating_add(entry.request.memory());
        let prefill = self.usage.prefill_short.saturating_add(entry.uncached(to));
        memory <= reserved(self.memory, self.settings)
            && self.usage.short_slots < reserved(self.slots.into(), self.settings) as u32
            && (self.usage.prefill_short == 0
                || prefill <= reserved(self.settings.prefill_limit, self.settings))
    }

    fn available(&self, short: bool) -> (Tokens, u32) {
        if short || !self.settings.reserve {
            return (self.memory, self.slots);
        }
        (
            unreserved(self.memory, self.settings),
            unreserved(self.slots.into(), self.settings) as u32,
        )
    }

    fn has_room(&self, short: bool, need: Tokens, memory: Tokens, slots: u32) -> bool {
        let usage = &self.usage;
        if usage.memory.saturating_add(need) > self.memory || usage.slots >= self.slots {
            return false;
        }
        short
            || ((usage.memory - usage.short_memory).saturating_add(need) <= memory
                && usage.slots - usage.short_slots < slots)
    }

    fn may_prefill(&self, entry: &Entry, uncached: Tokens, aged: bool) -> bool {
        let settings = self.settings;
        let usage = &self.usage;
        let sum = usage.prefill.saturating_add(uncached);
        if usage.prefill == 0 {
            return true;
        }
        if entry.is_short() {
            let reserve = reserved(settings.prefill_limit, settings);
            let short = usage.prefill_short;
            return sum <= settings.prefill_limit
                || (settings.reserve && (short == 0 || short + uncached <= reserve));
        }
        let limit = if settings.reserve {
            unreserved(settings.prefill_limit, settings)
        } else {
            settings.prefill_limit
        };
        // A steady flow of short prompts never leaves the prefill window empty, so an aged request may exceed it beside
        // short prompts.
        sum <= limit || (aged && usage.prefill == usage.prefill_short)
    }
}

/// Part of `total` that is not reserved.
pub(super) fn unreserved(total: Tokens, settings: &Settings) -> Tokens {
    if settings.reserve {
        total - reserved(total, settings)
    } else {
        total
    }
}

/// Reserved part of `total`, rounded down.
fn reserved(total: Tokens, settings: &Settings) -> Tokens {
    (total as f64 * settings.reserve_share.clamp(0.0, 1.0)) as Tokens
}
