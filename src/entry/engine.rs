use std::rc::Rc;
use std::time::Duration;

use super::{Figures, Load, Target, TargetKey};

/// Time between the end of a pass and the arrival of its events at the caller, and the error of predictions.
const SLACK: Duration = Duration::from_millis(40);

/// Share of an engine's memory that is used. Memory that runs out costs the newest request its whole reading.
const USED: f64 = 0.97;

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
    pub near: bool,
    /// Time that work takes there against the time that its figures say; 1 or more.
    pub pace: f64,
    /// The target.
    pub target: Rc<Target>,
}

impl Engine {
    /// Reading time ahead, in this engine's pace.
    pub fn backlog(&self) -> Duration {
        self.load.backlog.mul_f64(self.pace)
    }

    /// Reading time ahead that gives way to newer parts, in this engine's pace.
    pub fn background(&self) -> Duration {
        self.load.background.mul_f64(self.pace)
    }

    /// Time of a pass with writers and without reading.
    pub fn pass(&self, figures: &Figures) -> Duration {
        let context = figures.context_per_k * (self.load.tokens / 1_000);
        ((figures.step + context) * figures.stride).mul_f64(self.pace)
    }

    /// Reading time, in the figures' pace, that can be added before a request there pauses for too long; none if
    /// nothing there writes.
    pub fn room(&self, figures: &Figures) -> Option<Duration> {
        let gap = self.load.gap?;
        let limit = gap.saturating_sub(self.pass(figures) + SLACK);
        Some(limit.div_f64(self.pace).saturating_sub(self.load.backlog))
    }

    /// Whether a request with `tokens` tokens of context finds a slot and memory.
    pub fn fits(&self, figures: &Figures, tokens: u32) -> bool {
        self.has_slot(figures) && tokens <= self.free(figures)
    }

    /// Tokens of context that fit in beside what is there; a part is left for what others send before their next beat.
    pub fn free(&self, figures: &Figures) -> u32 {
        let usable = (f64::from(figures.memory) * USED) as u32;
        usable.saturating_sub(self.load.tokens)
    }

    /// Whether a request finds a slot.
    pub fn has_slot(&self, figures: &Figures) -> bool {
        let slots = figures.slots.min(self.target.slots.max(1));
        self.admits && self.load.running < slots
    }
}
