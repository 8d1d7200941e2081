use std::time::Duration;

use super::{Ask, Known};
use crate::entry::{Engine, Load, TargetKey};

/// Maximum number of decisions on requests behind a blocked one. Requests that need at least as much as one that does not
/// fit take no decision, so the limit is rarely reached.
const MAX_TRIED: usize = 8;

/// Requests of a queue that fit no engine now, as found in one pass over the queue.
#[derive(Debug, Default)]
pub(super) struct Blocked {
    /// Needs of the requests that do not fit.
    asks: Vec<Ask>,
    /// Services without a free slot.
    full: Vec<String>,
    tried: usize,
}

impl Blocked {
    /// Adds a request that was received `age` ago and does not fit. False if no other one of its service can fit.
    pub(super) fn add(&mut self, ask: &Ask, age: Duration, known: &Known) -> bool {
        self.tried += 1;
        let has_slot = |engine: &Engine| engine.has_slot(&known.profile);
        if ask.excluded.is_empty() && !known.engines.iter().any(has_slot) {
            self.full.push(ask.service.clone());
            return false;
        }
        if ask.objective().saturating_sub(age) > known.time_to_first_event(ask.prompt) {
            // One that is late leaves the last slots to others, which may fit although they need more.
            self.asks.push(ask.clone());
        }
        true
    }

    /// Whether no request was found yet.
    pub(super) fn is_empty(&self) -> bool {
        self.tried == 0
    }

    /// Whether a request cannot fit either, because it needs at least as much as one that does not.
    pub(super) fn includes(&self, ask: &Ask) -> bool {
        let needs_more = |other: &Ask| {
            let is_excluded = |target| ask.excluded.contains(target);
            ask.service == other.service
                && ask.tokens >= other.tokens
                && other.excluded.iter().all(is_excluded)
        };
        self.full.contains(&ask.service) || self.asks.iter().any(needs_more)
    }

    /// Whether no further request is to be tried.
    pub(super) fn is_done(&self) -> bool {
        self.tried > MAX_TRIED
    }
}

/// The engine that is kept for a blocked request: of those that can hold it, the one with the most free memory. `kept` is
/// the earlier choice, which stays as long as the engine is usable, so that it becomes free.
pub(super) fn keep(kept: Option<TargetKey>, ask: &Ask, known: &Known) -> Option<TargetKey> {
    let can_hold = |engine: &&Engine| {
        let idle = Engine {
            load: Load::default(),
            ..(*engine).clone()
        };
        idle.fits(&known.profile, ask.tokens)
    };
    let candidates: Vec<&Engine> = known.engines.iter().filter(can_hold).collect();
    if candidates.iter().any(|engine| Some(engine.key) == kept) {
        return kept;
    }
    let free = |engine: &&&Engine| (engine.free_tokens(&known.profile), engine.key);
    candidates.iter().max_by_key(free).map(|engine| engine.key)
}
