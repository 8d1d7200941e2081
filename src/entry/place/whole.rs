use std::time::Duration;

use super::{Choice, Fleet, Placement, FILL};
use crate::entry::Engine;

/// Cost of another failure domain, as time: the path there and back.
const FAR_COST: Duration = Duration::from_millis(4);

/// Part of the objective up to which engines set aside for writers are used before others. The rest covers the wait for
/// the end of a pass and what other instances send at the same time.
const USUAL: f64 = 0.5;

impl Fleet<'_> {
    /// Places a prompt that one engine reads: on the engine of the writers that has read it first.
    pub(super) fn whole(&self) -> Choice {
        let (head, tail) = self.order.split_at(self.split);
        let best = match self.first_done(head) {
            Some((wait, engine)) if wait <= self.ask.aim.mul_f64(USUAL) => Some((wait, engine)),
            near => [near, self.first_done(tail)]
                .into_iter()
                .flatten()
                .min_by_key(|(wait, _)| *wait),
        };
        let Some((wait, engine)) = best else {
            return Choice::Wait;
        };
        if wait >= self.ask.left {
            return Choice::Wait;
        }
        if wait > self.ask.aim && !self.has_spare_slots(engine) {
            // While slots are short, those go first that can still be on time.
            return Choice::Wait;
        }
        Choice::Place(Placement {
            first: engine.target.clone(),
            background: false,
            helpers: Vec::new(),
            light: true,
            part: self.read,
            rest: self.ask.tokens,
            wait,
        })
    }

    /// Whether slots are left for requests that come soon.
    fn has_spare_slots(&self, engine: &Engine) -> bool {
        f64::from(engine.load.running) < f64::from(self.figures.slots) * FILL
    }

    fn first_done<'a>(&self, engines: &[&'a Engine]) -> Option<(Duration, &'a Engine)> {
        let cost = |engine: &Engine| {
            let far = if engine.near {
                Duration::ZERO
            } else {
                FAR_COST
            };
            let pass = engine.pass(self.figures);
            // Parts of prompts are read before a whole one, however long they have been waiting.
            let ahead = engine.backlog() + engine.background();
            ahead + pass + self.read.mul_f64(engine.pace) + far
        };
        engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.fits(self.figures, self.ask.tokens))
            .min_by_key(|(at, engine)| (cost(engine), self.mix(*at)))
            .map(|(_, engine)| (cost(engine), *engine))
    }
}
