use std::time::Duration;

use jujubehook::entry::admission::{predict, rank, Wait, Waiting};
use jujubehook::entry::{is_long, Engine, Requirements};

use super::Simulation;
use crate::entry_fixtures::ms;

impl Simulation {
    /// Whether a request without a placement may wait; announces it if it does.
    pub(super) fn may_wait(
        &mut self,
        at: usize,
        requirements: &Requirements,
        engines: &[Engine],
        now: Duration,
    ) -> bool {
        if !self.admits_long_prompts || !is_long(&self.profile, requirements.prompt) {
            return true;
        }
        let has_run = self.has_run(at);
        let attempt = &mut self.attempts[at];
        let view = &mut self.views[attempt.instance];
        let objective = self.callers[attempt.caller].class.objective();
        let number = view.start_waiting(Waiting {
            prefill_time: self.profile.prefill_time(requirements.prompt),
            rank: rank("llm", at as u16),
            start: attempt.arrival,
        });
        attempt.announced = Some(number);
        let wait = Wait {
            ahead: view.waiting_ahead(number, now),
            left: (attempt.since + objective).saturating_sub(now),
            objective,
            waited: now.saturating_sub(attempt.arrival),
        };
        let prediction = predict(requirements, &self.profile, engines, &wait);
        let refused = prediction.filter(|prediction| prediction.reason.is_some() && !has_run);
        if let Some(prediction) = refused {
            let factor = 1.0 + self.random.f64() / 2.0;
            attempt.retry = prediction.retry.clamp(ms(200), ms(5_000)).mul_f64(factor);
        }
        refused.is_none()
    }

    /// Ends the announcement of a request.
    pub(super) fn withdraw(&mut self, at: usize) {
        let attempt = &mut self.attempts[at];
        if let Some(number) = attempt.announced.take() {
            self.views[attempt.instance].finish_waiting(number);
        }
    }
}
