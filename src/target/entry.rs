use std::time::Duration;

use super::{Class, Request};
use crate::id::Tokens;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// From this time on the request is not overtaken while it waits for memory or slots.
    pub(super) aged: Duration,
    pub(super) arrival: Duration,
    /// Changes when the engine lost its memory.
    pub(super) boots: u64,
    /// Tokens predicted to be cached, for [`Entry::rest`].
    pub(super) cached: Tokens,
    pub(super) class: Class,
    /// Prefilled tokens.
    pub(super) done: Tokens,
    /// Ramp epoch of the first dispatch.
    pub(super) epoch: u64,
    pub(super) request: Request,
    /// Position in the queue: lower goes first; in µs with `slack`, constant otherwise.
    pub(super) key: i64,
    /// Whether memory is reserved because a piece of it is at the engine.
    pub(super) placed: bool,
    pub(super) sequence: u64,
    /// Index of the workspace's share.
    pub(super) share: usize,
    /// Whether a piece of it was ever sent.
    pub(super) started: bool,
}

impl Entry {
    /// End of the next piece. A short prompt goes out whole: each of its pieces would wait behind other work.
    pub(super) fn end(&self, chunk: Option<Tokens>) -> Tokens {
        let Some(chunk) = chunk.filter(|_| !self.is_short()) else {
            return self.request.prompt;
        };
        let base = self.done.max(self.cached);
        base.saturating_add(chunk.max(1)).min(self.request.prompt)
    }

    pub(super) fn is_aged(&self, now: Duration) -> bool {
        now >= self.aged
    }

    pub(super) fn is_short(&self) -> bool {
        self.class == Class::Short
    }

    pub(super) fn order(&self) -> (i64, u64) {
        (self.key, self.sequence)
    }

    /// Uncached tokens up to `to`.
    pub(super) fn piece(&self, to: Tokens) -> Tokens {
        to.saturating_sub(self.done.max(self.cached))
    }

    /// Uncached tokens not yet prefilled.
    pub(super) fn rest(&self) -> Tokens {
        self.piece(self.request.prompt)
    }
}
