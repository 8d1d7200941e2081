use std::rc::Rc;
use std::time::Duration;

use super::{Load, Profile, Target, TargetKey};

/// Margin for the time from the end of a pass to the arrival of its events at the caller, and for prediction errors.
const GAP_MARGIN: Duration = Duration::from_millis(40);

/// Share of an engine's memory that is used. If memory runs out, the newest request loses its whole prefill.
const USED_MEMORY: f64 = 0.97;

/// An engine as a candidate for a request.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Whether it may get a request; parts of prompts are allowed in any case.
    pub admits: bool,
    /// Short form of its id.
    pub key: TargetKey,
    /// Load from all instances.
    pub load: Load,
    /// Whether it is in the failure domain of this instance.
    pub local: bool,
    /// Factor by which it is slower than its profile; at least 1.
    pub slowdown: f64,
    /// The target.
    pub target: Rc<Target>,
}

impl Engine {
    /// Remaining prefill time, at this engine's speed.
    pub fn backlog(&self) -> Duration {
        self.load.backlog.mul_f64(self.slowdown)
    }

    /// Remaining background prefill time, at this engine's speed.
    pub fn background(&self) -> Duration {
        self.load.background.mul_f64(self.slowdown)
    }

    /// Time of a decode pass without prefill.
    pub fn pass_time(&self, profile: &Profile) -> Duration {
        let context = profile.context_per_k * (self.load.tokens / 1_000);
        ((profile.step + context) * profile.stride).mul_f64(self.slowdown)
    }

    /// Prefill time, at the profile's speed, that fits into the gap that a request there tolerates; none if no request
    /// there has a limit.
    pub fn part_limit(&self, profile: &Profile) -> Option<Duration> {
        let gap = self.load.gap?;
        let limit = gap.saturating_sub(self.pass_time(profile) + GAP_MARGIN);
        Some(limit.div_f64(self.slowdown))
    }

    /// The same without what is used by its backlog.
    pub fn prefill_room(&self, profile: &Profile) -> Option<Duration> {
        let limit = self.part_limit(profile)?;
        Some(limit.saturating_sub(self.load.backlog))
    }

    /// Whether a part that takes `part_time` at the profile's speed can be added.
    pub fn has_room(&self, profile: &Profile, part_time: Duration) -> bool {
        self.prefill_room(profile)
            .is_none_or(|room| room >= part_time)
    }

    /// Whether a slot and memory for `tokens` tokens of context are free.
    pub fn fits(&self, profile: &Profile, tokens: u32) -> bool {
        self.has_slot(profile) && tokens <= self.free_tokens(profile)
    }

    /// Tokens of context that still fit. A reserve is left for what other instances send before their next heartbeat.
    pub fn free_tokens(&self, profile: &Profile) -> u32 {
        usable_tokens(profile).saturating_sub(self.load.tokens)
    }

    /// Whether a slot is free and the engine may get a request.
    pub fn has_slot(&self, profile: &Profile) -> bool {
        let slots = profile.slots.min(self.target.slots.max(1));
        self.admits && self.load.running < slots
    }
}

/// Tokens of context that an empty engine takes.
pub(super) fn usable_tokens(profile: &Profile) -> u32 {
    (f64::from(profile.memory_tokens) * USED_MEMORY) as u32
}
