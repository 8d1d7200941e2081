use std::time::Duration;

use super::attempt::Attempt;
use super::outcome::Outcome;
use super::Exchange;
use crate::entry::platform::Failure;
use crate::entry::Health;
use crate::event;

impl Exchange {
    /// Records the outcome of a send: health of the target, metrics and log.
    pub(super) fn record(&self, attempt: &Attempt, outcome: &Outcome) {
        let target = &attempt.target;
        let instance = &self.instance;
        let now = instance.clock.now();
        let took = now.saturating_sub(attempt.started);
        let key = target.key();
        let name = {
            let mut health = instance.health.borrow_mut();
            match outcome {
                Outcome::Opened(_) => {
                    health.record(key, true, now);
                    "opened"
                }
                Outcome::Answered(reply) => {
                    health.record(key, !reply.status.is_server_error(), now);
                    "answered"
                }
                Outcome::Failed(Failure::Unreachable) => "unreachable",
                Outcome::Failed(Failure::Silent) if self.time_left().is_zero() => "silent",
                Outcome::Failed(failure) => {
                    health.record(key, false, now);
                    failure.name()
                }
                Outcome::NoMemory => "no_memory",
                Outcome::NotRun(fault) => {
                    self.eject_named(&mut health, fault.as_deref(), now);
                    "not_run"
                }
            }
        };
        match outcome {
            Outcome::Failed(Failure::Unreachable) => instance.mark_unreachable(target),
            Outcome::Failed(Failure::Silent) => instance.targets.discard(target.address),
            Outcome::Opened(_) | Outcome::Answered(_) => instance.mark_reachable(target),
            Outcome::Failed(_) | Outcome::NoMemory | Outcome::NotRun(_) => {}
        }
        instance.metrics.sends.with_label_values(&[name]).inc();
        event!(
            instance.source,
            "sent",
            request = self.request.id.as_str(),
            target = target.id.as_str(),
            attempt = attempt.number,
            outcome = name,
            ms = took.as_millis() as u64
        );
    }

    /// Ejects a target that another one names as the cause of its failure.
    fn eject_named(&self, health: &mut Health, fault: Option<&str>, now: Duration) {
        let Some(fault) = fault else {
            return;
        };
        let directory = self.instance.directory.borrow();
        let named = directory
            .targets()
            .find(|target| target.id == fault || target.address.to_string() == fault);
        if let Some(target) = named {
            health.eject(target.key(), now);
        }
    }
}
