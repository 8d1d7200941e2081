use std::time::Duration;

use crate::entry::TargetKey;

/// A request of this instance and the engines that were chosen for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Whether newer work may be processed first, because the request misses its objective in any case.
    pub background: bool,
    /// Largest gap between events that it tolerates; zero without a stream.
    pub gap: Duration,
    /// Other targets that process a part of the prompt, and the tokens of context that each one stores.
    pub helpers: Vec<(TargetKey, u32)>,
    /// Prefill time of each part.
    pub part_time: Duration,
    /// Target that gets the request.
    pub primary: TargetKey,
    /// Random tie-breaker: if two instances choose the same targets at the same time, the lower rank is sent.
    pub rank: u32,
    /// Whether its prompt is short.
    pub short: bool,
    /// Whether its targets are held until earlier work there has ended, and get nothing yet.
    pub held: bool,
    /// Time at which its targets were chosen.
    pub start: Duration,
    /// Tokens of context at the primary target.
    pub tokens: u32,
}

impl Work {
    /// Whether its end frees a slot for another request with a short prompt: only the ends of such requests tell the rate
    /// at which they can be served.
    pub fn frees_slot(&self) -> bool {
        self.short
    }
}
