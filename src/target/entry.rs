use std::time::Duration;

use super::{Class, Request};
use crate::id::Tokens;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Time from which on other requests no longer overtake this one while it waits for memory or slots.
    pub(super) aged_at: Duration,
    /// Whether the request holds memory at the engine, from its first chunk on.
    pub(super) allocated: bool,
    pub(super) arrival: Duration,
    /// Number of engine restarts seen when the prefill started; progress from before a restart is lost.
    pub(super) boots: u64,
    /// Leading tokens predicted to be in the engine's prefix cache.
    pub(super) cached: Tokens,
    pub(super) class: Class,
    /// Ramp epoch of the first dispatch.
    pub(super) epoch: u64,
    /// Sort key in the queue, lowest first: a time in µs with `slack`, constant otherwise.
    pub(super) key: i64,
    /// Tokens prefilled so far.
    pub(super) prefilled: Tokens,
    pub(super) request: Request,
    pub(super) sequence: u64,
    /// Index of the workspace in [`Shares`](super::share::Shares).
    pub(super) share: usize,
    /// Whether a chunk was ever sent.
    pub(super) started: bool,
}

impl Entry {
    /// End of the next chunk. A short prompt is sent whole, because each chunk of it would wait behind other work.
    pub(super) fn chunk_end(&self, chunk: Option<Tokens>) -> Tokens {
        let Some(chunk) = chunk.filter(|_| !self.is_short()) else {
            return self.request.prompt;
        };
        let start = self.prefilled.max(self.cached);
        start.saturating_add(chunk.max(1)).min(self.request.prompt)
    }

    pub(super) fn is_aged(&self, now: Duration) -> bool {
        now >= self.aged_at
    }

    pub(super) fn is_short(&self) -> bool {
        self.class == Class::Short
    }

    pub(super) fn order(&self) -> (i64, u64) {
        (self.key, self.sequence)
    }

    /// Tokens up to `to` that are neither prefilled nor cached.
    pub(super) fn uncached(&self, to: Tokens) -> Tokens {
        to.saturating_sub(self.prefilled.max(self.cached))
    }

    /// Tokens of the prompt that are neither prefilled nor cached.
    pub(super) fn remaining(&self) -> Tokens {
        self.uncached(self.request.prompt)
    }
}
