use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::attempt::Attempt;
use super::open::{Opening, Progress, Search};
use super::{Exchange, InFlight, RouteKind};
use crate::entry::hedge::{
    are_possible, decide, hedge_at, route_key, slow_quantile, Reason, Situation,
};
use crate::entry::{pick, place, Choice, Engine, Heartbeat, Instance, Placement, Target};
use crate::event;

/// A second send that was sent because the first one was slow.
pub(super) struct Hedged {
    /// Start of the first send.
    first: Duration,
    /// Start of the second send.
    second: Duration,
    target: Rc<Target>,
}

/// The send whose answer the caller gets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Winner {
    number: u32,
    started: Duration,
}

impl Winner {
    pub(super) fn new(attempt: &Attempt) -> Winner {
        Winner {
            number: attempt.number,
            started: attempt.started,
        }
    }
}

impl Exchange {
    /// Time at which the send that starts now counts as slow; none if the request is never hedged, or if too little is
    /// known of its route.
    pub(super) fn slow_at(&self) -> Option<Duration> {
        if self.sends != 1 || !self.is_measured() {
            return None;
        }
        let instance = &self.instance;
        let slow = instance.hedge_time(&self.route.name)?;
        let (arrival, sent) = (self.arrival, instance.clock.now());
        Some(hedge_at(arrival, self.route.objective, sent, slow))
    }

    /// Waits until the first send counts as slow; forever without that time.
    pub(super) async fn wait_until_slow(&self, slow_at: Option<Duration>) -> Progress {
        match slow_at {
            Some(at) => Timer::after(at.saturating_sub(self.instance.clock.now())).await,
            None => std::future::pending().await,
        };
        Progress::Slow
    }

    /// Sends the request to a second target beside the slow first one if the limits allow it.
    pub(super) fn hedge(&mut self, search: &mut Search) {
        search.slow_at = None;
        let count = |outcome| {
            let hedges = &self.instance.metrics.hedges;
            hedges.with_label_values(&[outcome]).inc();
        };
        let placement = self.place_hedge();
        let decision = decide(&self.situation(search, placement.is_some()));
        let placement = match (decision, placement) {
            (Ok(()), Some(placement)) => placement,
            (Ok(()), None) => return count(Reason::Slots.name()),
            (Err(reason), _) => return count(reason.name()),
        };
        let Some(first) = search.attempts.first().map(|attempt| attempt.started) else {
            return;
        };
        if !self.spend_retry() {
            return count(Reason::RetryBudget.name());
        }
        let mut hedging = self.instance.hedging.borrow_mut();
        hedging.budget.spend(&self.service.name);
        drop(hedging);
        count("sent");
        let in_flight = self.start(&placement, false, 0);
        self.begin_hedge(search, placement, in_flight, first);
    }

    fn begin_hedge(
        &mut self,
        search: &mut Search,
        placement: Placement,
        in_flight: InFlight,
        first: Duration,
    ) {
        let now = self.instance.clock.now();
        let target = placement.primary.clone();
        event!(
            self.instance.source,
            "hedge",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target.id.as_str(),
            after_ms = now.saturating_sub(first).as_millis() as u64
        );
        // The first target may run the request too.
        self.count_sent();
        search.attempts.mark_counted();
        search.is_retry = true;
        search.hedged = Some(Hedged {
            first,
            second: now,
            target,
        });
        self.push_send(search, placement, in_flight);
    }

    /// What the decision on a hedge depends on now.
    fn situation(&self, search: &Search, has_target: bool) -> Situation {
        let instance = &self.instance;
        let (now, instances) = (instance.clock.now(), instance.instances());
        let service = &self.service.name;
        let mut budgets = instance.budgets.borrow_mut();
        Situation {
            has_budget: instance.hedging.borrow().budget.has_room(service),
            has_retry_budget: budgets.is_half_free(service, instances, now),
            has_target,
            is_trial: self.is_trial(),
            max_attempts: self.route.max_attempts,
            open: search.attempts.len(),
            sends: self.sends,
            time_left: self.time_left(),
        }
    }

    /// A placement at targets that were not tried and have free slots; none if it would need several targets, or would
    /// have to be announced first.
    fn place_hedge(&self) -> Option<Placement> {
        let instance = &self.instance;
        let mut engines = instance.engines(&self.service, &self.tried, false);
        let is_free = |engine: &Engine| engine.load.running < engine.target.slots;
        engines.retain(|engine| engine.admits && !engine.load.held && is_free(engine));
        let seed = fastrand::u64(..);
        let Some(profile) = &self.service.profile else {
            let primary = pick(&engines, seed)?;
            return Some(Placement {
                background: false,
                helpers: Vec::new(),
                part_time: Duration::ZERO,
                primary,
                primary_tokens: 0,
                short: false,
                wait: self.route.objective,
            });
        };
        let requirements = self.requirements(&engines, instance.clock.now());
        match place(&requirements, profile, &engines, seed) {
            Choice::Place(placement) if placement.short && placement.helpers.is_empty() => {
                Some(placement)
            }
            Choice::Place(_) | Choice::Hold(_) | Choice::Keep | Choice::Refuse | Choice::Wait => {
                None
            }
        }
    }

    /// Records the time of the first send, and how a hedge ended, when the request has its answer or is given up.
    pub(super) fn end_hedge(&self, search: &Search, opening: &Opening) {
        let now = self.instance.clock.now();
        let winner = search.winner;
        if self.is_measured() {
            let is_success = matches!(opening, Opening::Answer(reply) if reply.status.is_success());
            let answered = winner.filter(|winner| winner.number == 1 && is_success);
            // A first send that is given up would have taken at least until now. Without it, hedging would let the
            // quantile fall, which causes more hedging.
            let open = search.attempts.first().map(|attempt| attempt.started);
            if let Some(started) = answered.map(|winner| winner.started).or(open) {
                self.measure(now.saturating_sub(started), now);
            }
        }
        let Some(hedged) = &search.hedged else {
            return;
        };
        let (outcome, won) = match winner.map(|winner| winner.number) {
            Some(1) => ("lost", "first"),
            Some(2) => ("won", "second"),
            Some(_) | None => ("unanswered", "none"),
        };
        let hedges = &self.instance.metrics.hedges;
        hedges.with_label_values(&[outcome]).inc();
        event!(
            self.instance.source,
            "hedge_end",
            request = self.request.id.as_str(),
            target = hedged.target.id.as_str(),
            won = won,
            first_ms = now.saturating_sub(hedged.first).as_millis() as u64,
            second_ms = now.saturating_sub(hedged.second).as_millis() as u64
        );
    }

    /// Whether the times of the request are measured: hedging is enabled, and the request could be hedged.
    fn is_measured(&self) -> bool {
        let is_enabled = self.instance.settings.borrow().hedge.is_some();
        is_enabled && self.route.kind == RouteKind::Repeatable
    }

    fn measure(&self, took: Duration, now: Duration) {
        let mut hedging = self.instance.hedging.borrow_mut();
        let key = route_key(&self.route.name);
        hedging.measure(key, took, self.route.timeout, now);
    }
}

impl Instance {
    /// Time that makes a send of this route slow; none if hedging is off or too few times were measured.
    pub fn hedge_time(&self, route: &str) -> Option<Duration> {
        let hedge = self.settings.borrow().hedge?;
        let quantile = slow_quantile(hedge.quantile, hedge.ratio);
        let times = &mut self.hedging.borrow_mut().times;
        times.quantile(route_key(route), quantile, self.clock.now())
    }

    /// Counts a request of a service, which earns a share of a hedge.
    pub(super) fn earn_hedge(&self, service: &str) {
        if let Some(hedge) = self.settings.borrow().hedge {
            let mut hedging = self.hedging.borrow_mut();
            hedging.budget.count_request(service, hedge.ratio);
        }
    }

    /// Applies the times that another instance measured. Those of a route that is not known here are left out.
    pub(in crate::entry) fn receive_samples(&self, heartbeat: &Heartbeat, now: Duration) {
        let samples = &heartbeat.samples;
        let config = self.config();
        let Some(config) = config.filter(|_| !samples.is_empty()) else {
            return;
        };
        if !are_possible(samples, config.longest_timeout()) {
            event!(
                warn,
                self.source,
                "samples_refused",
                from = heartbeat.instance.as_str(),
                count = samples.len(),
                max_ms = samples.iter().map(|(_, ms)| u64::from(*ms)).max()
            );
            return;
        }
        if self.settings.borrow().hedge.is_none() {
            return;
        }
        let mut hedging = self.hedging.borrow_mut();
        for sample in samples {
            if config.has_hedged_route(sample.0) {
                hedging.times.record(*sample, now);
            }
        }
    }
}
