use std::time::Duration;

use super::{Action, ModelSpec, Pacer, Plan, Settings};
use crate::id::Fence;

/// State of the orders to one target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Place {
    /// Time and content of the last observation in this term.
    observed: Option<(Duration, Option<ModelSpec>)>,
    /// Time and content of the last order in this term.
    ordered: Option<(Duration, ModelSpec)>,
    pub(super) plan: Plan,
    /// Time of the last read or order in this term.
    read: Option<Duration>,
}

impl Place {
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            observed: None,
            ordered: None,
            plan,
            read: None,
        }
    }

    /// Forgets everything that was learnt in an earlier term.
    pub(super) fn clear(&mut self) {
        self.observed = None;
        self.ordered = None;
        self.read = None;
    }

    /// The next step towards the wish, if one is due.
    pub(super) fn next(
        &mut self,
        fence: Fence,
        pacer: &mut Pacer,
        settings: &Settings,
        now: Duration,
    ) -> Option<Action> {
        let Some((at, loaded)) = &self.observed else {
            return self.read(settings.retry, now);
        };
        let wish = &self.plan.load;
        if loaded.as_ref().is_some_and(|loaded| wish.is_met_by(loaded)) {
            let due = now.saturating_sub(*at) >= settings.refresh;
            return due.then(|| self.read(settings.retry, now)).flatten();
        }
        if !self.may_follow(loaded.as_ref(), settings.delay, now) {
            return self.read(settings.retry, now);
        }
        let weights = !loaded
            .as_ref()
            .is_some_and(|loaded| wish.same_weights(loaded));
        if weights && !pacer.take(now) {
            return None;
        }
        let load = wish.clone();
        self.observed = None;
        self.ordered = Some((now, load.clone()));
        self.read = Some(now);
        Some(Action::Order {
            fence,
            load,
            target: self.plan.target.clone(),
        })
    }

    pub(super) fn observe(&mut self, loaded: Option<ModelSpec>, now: Duration) {
        self.observed = Some((now, loaded));
    }

    /// Whether an earlier order of this term cannot take effect after the next one: it has been seen to take effect,
    /// or the longest order delay has passed.
    fn may_follow(&self, loaded: Option<&ModelSpec>, delay: Duration, now: Duration) -> bool {
        let Some((at, load)) = &self.ordered else {
            return true;
        };
        now.saturating_sub(*at) >= delay || loaded.is_some_and(|loaded| load.is_met_by(loaded))
    }

    fn read(&mut self, retry: Duration, now: Duration) -> Option<Action> {
        if self.read.is_some_and(|at| now.saturating_sub(at) < retry) {
            return None;
        }
        self.read = Some(now);
        Some(Action::Read {
            target: self.plan.target.clone(),
        })
    }
}
