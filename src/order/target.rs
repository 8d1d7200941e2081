use std::time::Duration;

use super::{Action, Model, Pacer, Plan, Settings};
use crate::id::Fence;

/// State of the orders to one target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Target {
    /// Time of the last observation in this term, and what the target had loaded.
    observed: Option<(Duration, Option<Model>)>,
    /// Time and content of the last order in this term.
    ordered: Option<(Duration, Model)>,
    pub(super) plan: Plan,
    /// Time of the last read or order in this term.
    last_request: Option<Duration>,
}

impl Target {
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            observed: None,
            ordered: None,
            plan,
            last_request: None,
        }
    }

    /// Discards what is known from an earlier term.
    pub(super) fn clear(&mut self) {
        self.observed = None;
        self.ordered = None;
        self.last_request = None;
    }

    /// Returns the next read or order, if one is due, so that the target loads what is planned.
    pub(super) fn next_action(
        &mut self,
        fence: Fence,
        pacer: &mut Pacer,
        settings: &Settings,
        now: Duration,
    ) -> Option<Action> {
        let Some((at, loaded)) = &self.observed else {
            return self.read(settings.retry, now);
        };
        let wanted = &self.plan.load;
        if loaded
            .as_ref()
            .is_some_and(|loaded| wanted.is_met_by(loaded))
        {
            let due = now.saturating_sub(*at) >= settings.refresh;
            return due.then(|| self.read(settings.retry, now)).flatten();
        }
        if !self.may_order_again(loaded.as_ref(), settings.delay, now) {
            return self.read(settings.retry, now);
        }
        let loads_weights = !loaded
            .as_ref()
            .is_some_and(|loaded| wanted.has_same_weights(loaded));
        if loads_weights && !pacer.take(now) {
            return None;
        }
        let load = wanted.clone();
        self.observed = None;
        self.ordered = Some((now, load.clone()));
        self.last_request = Some(now);
        Some(Action::Order {
            fence,
            load,
            target: self.plan.target.clone(),
        })
    }

    pub(super) fn observe(&mut self, loaded: Option<Model>, now: Duration) {
        self.observed = Some((now, loaded));
    }

    /// Whether the last order of this term can no longer take effect after a new one: either it was observed to have
    /// taken effect, or the longest order delay has passed.
    fn may_order_again(&self, loaded: Option<&Model>, delay: Duration, now: Duration) -> bool {
        let Some((at, load)) = &self.ordered else {
            return true;
        };
        now.saturating_sub(*at) >= delay || loaded.is_some_and(|loaded| load.is_met_by(loaded))
    }

    fn read(&mut self, retry: Duration, now: Duration) -> Option<Action> {
        if self
            .last_request
            .is_some_and(|at| now.saturating_sub(at) < retry)
        {
            return None;
        }
        self.last_request = Some(now);
        Some(Action::Read {
            target: self.plan.target.clone(),
        })
    }
}
