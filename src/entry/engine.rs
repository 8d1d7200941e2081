use std::rc::Rc;
use std::time::Duration;

use super::{Figures, Load, Target, TargetKey};

/// Time between the end of a pass and the arrival of its events at the caller, and the error of predictions.
const SLACK: Duration = Duration::from_millis(40);

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
        let slots = figures.slots.min(self.target.slots.max(1));
        self.admits
            && self.load.running < slots
            && self.load.tokens.saturating_add(tokens) <= figures.memory
    }
}
