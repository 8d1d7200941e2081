use std::time::Duration;

use smol::Timer;

use super::outcome::GivenUp;
use super::{
    Exchange, InFlight, RouteKind, PLACEMENT_INTERVAL, RETRY_AFTER, RETRY_AFTER_UNAVAILABLE,
};
use crate::entry::{pick, place, Choice, Demand, Engine, Placement, Work};
use crate::error::Kind;
use crate::event;

/// Time within which a choice of engines becomes known to all instances: several times the way between two domains.
const CLAIM_DELAY: Duration = Duration::from_millis(10);

/// Part of the objective that a request may wait for a place.
const QUEUE_SHARE: u32 = 2;

impl Exchange {
    /// Finds a place, and waits for one for a part of the objective.
    pub(super) async fn find_placement(&self) -> Result<(Placement, InFlight), GivenUp> {
        let instance = &self.instance;
        let patience = match self.route.kind {
            // A caller that has events already cannot be told to come back.
            RouteKind::Stream { .. } if self.resumes => self.left(),
            RouteKind::Stream { .. } => self
                .left_to_start(instance.clock.now())
                .min(self.route.objective),
            RouteKind::Once | RouteKind::Repeatable => {
                (self.route.objective / QUEUE_SHARE).min(self.left() / 4)
            }
        };
        let since = instance.clock.now();
        let until = since + patience;
        loop {
            match self.choose() {
                Choice::Place(placement) => {
                    if let Some(in_flight) = self.claim(&placement).await {
                        return Ok((placement, in_flight));
                    }
                }
                Choice::Refuse => break,
                Choice::Wait if instance.clock.now() >= until => break,
                Choice::Wait => {}
            }
            Timer::after(PLACEMENT_INTERVAL).await;
        }
        let engines = instance.engines(&self.service, &[], true);
        let full = |engine: &Engine| engine.load.running >= engine.target.slots;
        event!(
            instance.source,
            "no_place",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            version = instance.config().map(|config| config.version),
            waited_ms = (instance.clock.now() - since).as_millis() as u64,
            targets = engines.len(),
            full = engines.iter().filter(|engine| full(engine)).count(),
            least_backlog_ms = engines
                .iter()
                .map(|engine| engine.load.backlog.as_millis() as u64)
                .min(),
            running = engines
                .iter()
                .map(|engine| engine.load.running)
                .sum::<u32>()
        );
        let (kind, retry) = if !engines.is_empty() {
            (Kind::Overloaded, RETRY_AFTER)
        } else {
            (Kind::Unavailable, RETRY_AFTER_UNAVAILABLE)
        };
        // What was sent before and may have run must not be reported as not run.
        let kind = if self.runs > 0 {
            Kind::UpstreamFailed
        } else {
            kind
        };
        Err(GivenUp {
            answered: None,
            kind,
            retry: (self.runs == 0).then_some(retry),
        })
    }

    /// Tells other instances what is to be read where; none if another's choice goes first. All that wait for an engine
    /// see at once that it is free, and a part that is sent to an engine with others has to wait for all of them.
    async fn claim(&self, placement: &Placement) -> Option<InFlight> {
        let instance = &self.instance;
        let helpers = placement.helpers.iter();
        let number = instance.view.borrow_mut().start(Work {
            background: placement.background,
            primary: placement.primary.key(),
            gap: self.route.gap,
            helpers: helpers
                .map(|helper| (helper.target.key(), helper.reserved))
                .collect(),
            short: placement.short,
            part_time: placement.part_time,
            rank: fastrand::u32(..),
            start: instance.clock.now(),
            tokens: placement.primary_tokens,
        });
        let in_flight = InFlight {
            instance: instance.clone(),
            number,
            reservations: Vec::new(),
        };
        if placement.short || placement.part_time.is_zero() {
            return Some(in_flight);
        }
        instance.request_heartbeat();
        Timer::after(CLAIM_DELAY).await;
        if !instance.view.borrow().gives_way(number, CLAIM_DELAY) {
            return Some(in_flight);
        }
        event!(
            instance.source,
            "gave_way",
            request = self.request.id.as_str(),
            target = placement.primary.id.as_str(),
            part_ms = placement.part_time.as_millis() as u64
        );
        drop(in_flight);
        instance.request_heartbeat();
        None
    }

    fn choose(&self) -> Choice {
        let instance = &self.instance;
        let mut engines = instance.engines(&self.service, &self.tried, false);
        if engines.is_empty() {
            engines = instance.engines(&self.service, &[], true);
        }
        let now = instance.clock.now();
        let seed = fastrand::u64(..);
        let Some(profile) = &self.service.profile else {
            let Some(primary) = pick(&engines, seed) else {
                return Choice::Wait;
            };
            return Choice::Place(Placement {
                background: false,
                primary,
                helpers: Vec::new(),
                short: false,
                part_time: Duration::ZERO,
                primary_tokens: 0,
                wait: self.route.objective,
            });
        };
        let prompt = self.request.prompt.unwrap_or_default();
        let demand = Demand {
            objective: (self.arrival + self.route.objective).saturating_sub(now),
            gap: self.route.gap,
            deadline: self.left_to_start(now),
            prompt: prompt.tokens as u32,
            tokens: (prompt.tokens + prompt.max_tokens) as u32,
        };
        place(&demand, profile, &engines, seed)
    }
}
