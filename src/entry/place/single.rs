use std::time::Duration;

use super::{Choice, Placement, Placer, TARGET_FILL};
use crate::entry::Engine;

/// Cost of another failure domain as time: the round trip.
const REMOTE_COST: Duration = Duration::from_millis(4);

/// Share of the objective up to which engines for short prompts are preferred over others. The rest covers the wait for
/// the end of a pass and what other instances send at the same time.
const PREFERRED_SHARE: f64 = 0.5;

impl Placer<'_> {
    /// Places a prompt on a single engine: the one that finishes its prefill first, preferably one for short prompts.
    pub(super) fn place_single(&self) -> Choice {
        let (preferred_engines, other_engines) = self.order.split_at(self.short_engines);
        let best = match self.first_finished(preferred_engines) {
            Some((wait, engine))
                if wait <= self.requirements.objective.mul_f64(PREFERRED_SHARE) =>
            {
                Some((wait, engine))
            }
            preferred => [preferred, self.first_finished(other_engines)]
                .into_iter()
                .flatten()
                .min_by_key(|(wait, _)| *wait),
        };
        let Some((wait, engine)) = best else {
            return Choice::Wait;
        };
        if wait >= self.requirements.deadline {
            return Choice::Wait;
        }
        if wait > self.requirements.objective && !self.has_spare_slots(engine) {
            // While slots are scarce, requests that can still meet their objective go first.
            return Choice::Wait;
        }
        Choice::Place(Placement {
            background: false,
            helpers: Vec::new(),
            part_time: self.prefill_time,
            primary: engine.target.clone(),
            primary_tokens: self.requirements.tokens,
            short: true,
            wait,
        })
    }

    /// Whether slots are left for requests that arrive soon.
    fn has_spare_slots(&self, engine: &Engine) -> bool {
        f64::from(engine.load.running) < f64::from(self.profile.slots) * TARGET_FILL
    }

    fn first_finished<'a>(&self, engines: &[&'a Engine]) -> Option<(Duration, &'a Engine)> {
        let cost = |engine: &Engine| {
            let remote = if engine.local {
                Duration::ZERO
            } else {
                REMOTE_COST
            };
            let pass = engine.pass_time(self.profile);
            // Engines process parts of split prompts before whole prompts, regardless of arrival.
            let ahead = engine.backlog() + engine.background();
            ahead + pass + self.prefill_time.mul_f64(engine.slowdown) + remote
        };
        let fits = |engine: &Engine| engine.fits(self.profile, self.requirements.tokens);
        let candidates = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| fits(engine));
        let mut candidates: Vec<(u64, &Engine)> = candidates
            .map(|(at, engine)| (self.tie_break(at), *engine))
            .collect();
        // A random choice: instances that know the same do not compare the same engines.
        let compared = self.compared(candidates.len());
        if compared < candidates.len() {
            candidates.select_nth_unstable_by_key(compared, |(order, _)| *order);
        }
        candidates
            .into_iter()
            .take(compared)
            .min_by_key(|(order, engine)| (engine.load.held, cost(engine), *order))
            .map(|(_, engine)| (cost(engine), engine))
    }
}
