use crate::id::{DomainId, TargetId, Tokens};
use crate::target::{Class, Load, State};

use super::Requirements;

/// A target among which a policy chooses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The target's domain.
    pub domain: DomainId,
    /// Whether the target is ejected as an outlier.
    pub ejected: bool,
    /// Last known load; `None` counts as the mean load.
    pub load: Option<Load>,
    /// Memory of the target.
    pub memory: Tokens,
    /// The target.
    pub target: TargetId,
}

impl Candidate {
    /// Whether the queue is known to be full, or the memory too small for a medium prompt: a gang may hold the
    /// unreserved memory of a target for longer than a medium prompt can wait.
    pub(super) fn is_full(&self, requirements: &Requirements) -> bool {
        let need = match requirements.class {
            Class::Medium => requirements.prompt.saturating_add(requirements.max_tokens),
            Class::Long | Class::Short => 0,
        };
        self.load
            .as_ref()
            .is_some_and(|load| load.full || load.holdable < need)
    }

    /// Long prompts whose prefill is not finished; 0 if unknown.
    pub(super) fn long(&self) -> u32 {
        self.load.as_ref().map_or(0, |load| load.long)
    }

    /// Queued and running requests, if known.
    pub(super) fn requests(&self) -> Option<u32> {
        let load = self.load.as_ref()?;
        Some(load.queued.saturating_add(load.running))
    }

    /// Whether the target may get the request, whatever its load.
    pub(super) fn is_eligible(&self, requirements: &Requirements) -> bool {
        let need = requirements.prompt.saturating_add(requirements.max_tokens);
        !self.ejected
            && !self.is_leaving()
            && need <= self.capacity(requirements.class)
            && !requirements.tried.contains(&self.target)
    }

    fn capacity(&self, class: Class) -> Tokens {
        match (class, &self.load) {
            (Class::Long | Class::Medium, Some(load)) => self.memory.min(load.capacity),
            (Class::Long | Class::Medium, None) | (Class::Short, _) => self.memory,
        }
    }

    fn is_leaving(&self) -> bool {
        match self.load.as_ref().map(|load| load.state) {
            Some(State::Gone | State::Leaving) => true,
            Some(State::Cold | State::Warm | State::Warming) | None => false,
        }
    }
}
