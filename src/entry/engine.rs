use std::rc::Rc;
use std::time::Duration;

use super::{Load, Profile, Target, TargetKey};

/// Time between the end of a pass and the arrival of its events at the caller, and the error of predictions.
const GAP_MARGIN: Duration = Duration::from_millis(40);

/// Share of an engine's memory that is used. Memory that runs out costs the newest request its whole reading.
const USED_MEMORY: f64 = 0.97;

/// An engine as it is seen when a request is placed.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Whether a request may be sent to it; it may still read parts of prompts.
    pub admits: bool,
    /// Short form of its id.
    pub key: TargetKey,
    /// What all instances have there.
    pub load: Load,
    /// Whether it is in the failure domain of this instance.
    pub local: bool,
    /// Time that work takes there against the time that its figures say; 1 or more.
    pub slowdown: f64,
    /// The target.
    pub target: Rc<Target>,
}

impl Engine {
    /// Reading time ahead, in this engine's pace.
    pub fn backlog(&self) -> Duration {
        self.load.backlog.mul_f64(self.slowdown)
    }

    /// Reading time ahead that gives way to newer parts, in this engine's pace.
    pub fn background(&self) -> Duration {
        self.load.background.mul_f64(self.slowdown)
    }

    /// Time of a pass with writers and without reading.
    pub fn pass_time(&self, profile: &Profile) -> Duration {
        let context = profile.context_per_k * (self.load.tokens / 1_000);
        ((profile.step + context) * profile.stride).mul_f64(self.slowdown)
    }

    /// Reading time, in the figures' pace, that can be added before a request there pauses for too long; none if
    /// nothing there writes.
    pub fn prefill_room(&self, profile: &Profile) -> Option<Duration> {
        let gap = self.load.gap?;
        let limit = gap.saturating_sub(self.pass_time(profile) + GAP_MARGIN);
        Some(
            limit
                .div_f64(self.slowdown)
                .saturating_sub(self.load.backlog),
        )
    }

    /// Whether a request with `tokens` tokens of context finds a slot and memory.
    pub fn fits(&self, profile: &Profile, tokens: u32) -> bool {
        self.has_slot(profile) && tokens <= self.free_tokens(profile)
    }

    /// Tokens of context that fit in beside what is there; a part is left for what others send before their next beat.
    pub fn free_tokens(&self, profile: &Profile) -> u32 {
        let usable = (f64::from(profile.memory_tokens) * USED_MEMORY) as u32;
        usable.saturating_sub(self.load.tokens)
    }

    /// Whether a request finds a slot.
    pub fn has_slot(&self, profile: &Profile) -> bool {
        let slots = profile.slots.min(self.target.slots.max(1));
        self.admits && self.load.running < slots
    }
}
