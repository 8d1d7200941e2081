use std::rc::Rc;
use std::time::Duration;

use super::find::saturate;
use super::outcome::GivenUp;
use super::Exchange;
use crate::entry::admission::{predict, rank, Prediction, Reason, Wait, Waiting};
use crate::entry::{is_long, Instance, Profile};
use crate::error::Kind;
use crate::event;

/// Shortest retry-after time that follows from a prediction.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Longest retry-after time that follows from a prediction. Later than that, the load is a different one.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// A retry-after time that differs between callers, so that they do not return together.
fn spread(time: Duration) -> Duration {
    let time = time.clamp(MIN_RETRY, MAX_RETRY);
    time.mul_f64(1.0 + fastrand::f64() / 2.0).min(MAX_RETRY)
}

/// A long prompt that waits for a placement, announced to other instances; removed on drop.
struct Announced {
    instance: Rc<Instance>,
    number: u64,
}

impl Drop for Announced {
    fn drop(&mut self) {
        self.instance.view.borrow_mut().finish_waiting(self.number);
    }
}

/// Admission of one request while it looks for a placement; does nothing unless its prompt is long and the setting is
/// on.
pub(super) struct Admission {
    announced: Option<Announced>,
    waiting: Option<Waiting>,
}

impl Admission {
    pub(super) fn new(exchange: &Exchange) -> Admission {
        let random = fastrand::u16(..);
        let waiting = exchange.long_profile().map(|profile| Waiting {
            prefill_time: profile.prefill_time(exchange.prompt_tokens()),
            rank: rank(&exchange.service.name, random),
            start: exchange.arrival,
        });
        Admission {
            announced: None,
            waiting,
        }
    }

    /// Records that the request waits, and refuses it if it cannot be in time; `left` is the time for which it waits at
    /// most.
    pub(super) fn wait(&mut self, exchange: &Exchange, left: Duration) -> Option<GivenUp> {
        if exchange.hold_time().is_some() {
            // It waits for a trial, not for engines.
            self.withdraw();
            return None;
        }
        self.announce(&exchange.instance);
        if !exchange.may_be_refused() {
            return None;
        }
        let (prediction, wait) = self.predict(exchange, left)?;
        let reason = prediction.reason?;
        Some(exchange.refuse_admission(reason, &prediction, &wait))
    }

    /// Announces the prompt to other instances.
    pub(super) fn announce(&mut self, instance: &Rc<Instance>) {
        if let (Some(waiting), None) = (self.waiting, &self.announced) {
            self.announced = Some(Announced {
                instance: instance.clone(),
                number: instance.view.borrow_mut().start_waiting(waiting),
            });
        }
    }

    /// Ends the announcement, because the prompt has become load at engines.
    pub(super) fn withdraw(&mut self) {
        self.announced = None;
    }

    /// Retry-after time for a request that ends its wait: the time until the work ahead is done.
    pub(super) fn retry(&mut self, exchange: &Exchange) -> Option<Duration> {
        self.announce(&exchange.instance);
        let (prediction, _) = self.predict(exchange, Duration::ZERO)?;
        Some(spread(prediction.drained))
    }

    fn predict(&self, exchange: &Exchange, left: Duration) -> Option<(Prediction, Wait)> {
        let instance = &exchange.instance;
        let profile = exchange.long_profile()?;
        let number = self.announced.as_ref()?.number;
        let engines = instance.engines(&exchange.service, &exchange.tried, false);
        let now = instance.clock.now();
        let wait = Wait {
            ahead: instance.view.borrow().waiting_ahead(number, now),
            left,
            objective: exchange.route.objective,
            waited: now.saturating_sub(exchange.arrival),
        };
        let requirements = exchange.requirements(&engines, now);
        let prediction = predict(&requirements, profile, &engines, &wait)?;
        Some((prediction, wait))
    }
}

impl Exchange {
    /// Profile of the engines if admission is on and the prompt is long.
    fn long_profile(&self) -> Option<&Profile> {
        let is_on = self.instance.settings.borrow().admits_long_prompts;
        let profile = self.service.profile.as_ref()?;
        (is_on && is_long(profile, self.prompt_tokens())).then_some(profile)
    }

    fn prompt_tokens(&self) -> u32 {
        saturate(self.request.prompt.unwrap_or_default().tokens)
    }

    /// Whether the prediction may refuse it. A caller that has events, or whose request may have run, gains nothing; a
    /// trial is restricted to some engines.
    fn may_be_refused(&self) -> bool {
        let has_events = self.resumes || self.request.last_event_id.is_some();
        !has_events && self.ran.is_empty() && !self.is_trial()
    }

    fn refuse_admission(&self, reason: Reason, prediction: &Prediction, wait: &Wait) -> GivenUp {
        let instance = &self.instance;
        let now = instance.clock.now();
        let retry = spread(prediction.retry);
        let millis = |time: Duration| time.as_millis() as u64;
        let engines = instance.engines(&self.service, &self.tried, false);
        let backlog = engines.iter().map(|engine| engine.backlog());
        event!(
            instance.source,
            "admission_refused",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            reason = reason.name(),
            prompt = self.prompt_tokens(),
            prefill_ms = self
                .long_profile()
                .map(|profile| millis(profile.prefill_time(self.prompt_tokens()))),
            ahead_ms = millis(wait.ahead),
            waited_ms = millis(wait.waited),
            objective_ms = millis(wait.objective),
            left_ms = millis(self.time_left_to_start(now)),
            reachable = engines.len(),
            backlog_ms = millis(backlog.fold(Duration::ZERO, Duration::saturating_add)),
            running = engines
                .iter()
                .map(|engine| u64::from(engine.load.running))
                .sum::<u64>(),
            drained_ms = millis(prediction.drained),
            predicted_ms = millis(prediction.first_event),
            retry_ms = millis(retry)
        );
        let refusals = &instance.metrics.admission_refusals;
        refusals.with_label_values(&[reason.name()]).inc();
        GivenUp {
            answered: None,
            kind: Kind::Overloaded,
            retry: Some(retry),
        }
    }
}
