use std::time::Duration;

use smol::Timer;

use super::outcome::GivenUp;
use super::{Exchange, Holding, RouteKind, COME_BACK, COME_BACK_LATER, LOOK};
use crate::entry::{pick, place, Ask, Choice, Engine, Placement, Work};
use crate::error::Kind;
use crate::event;

/// Time within which a choice of engines becomes known to all instances: several times the way between two domains.
const KNOWN: Duration = Duration::from_millis(10);

/// Part of the objective that a request may wait for a place.
const QUEUE_SHARE: u32 = 2;

impl Exchange {
    /// Finds a place, and waits for one for a part of the objective.
    pub(super) async fn find(&self) -> Result<(Placement, Holding), GivenUp> {
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
                    if let Some(holding) = self.claim(&placement).await {
                        return Ok((placement, holding));
                    }
                }
                Choice::Hopeless => break,
                Choice::Wait if instance.clock.now() >= until => break,
                Choice::Wait => {}
            }
            Timer::after(LOOK).await;
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
            (Kind::Overloaded, COME_BACK)
        } else {
            (Kind::Unavailable, COME_BACK_LATER)
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
    async fn claim(&self, placement: &Placement) -> Option<Holding> {
        let instance = &self.instance;
        let helpers = placement.helpers.iter();
        let number = instance.view.borrow_mut().start(Work {
            background: placement.background,
            first: placement.first.key(),
            gap: self.route.gap,
            helpers: helpers
                .map(|helper| (helper.target.key(), helper.hold))
                .collect(),
            light: placement.light,
            part: placement.part,
            rank: fastrand::u32(..),
            start: instance.clock.now(),
            tokens: placement.rest,
        });
        let holding = Holding {
            instance: instance.clone(),
            number,
            reservations: Vec::new(),
        };
        if placement.light || placement.part.is_zero() {
            return Some(holding);
        }
        instance.hurry();
        Timer::after(KNOWN).await;
        if !instance.view.borrow().gives_way(number, KNOWN) {
            return Some(holding);
        }
        event!(
            instance.source,
            "gave_way",
            request = self.request.id.as_str(),
            target = placement.first.id.as_str(),
            part_ms = placement.part.as_millis() as u64
        );
        drop(holding);
        instance.hurry();
        None
    }

    fn choose(&self) -> Choice {
        let instance = &self.instance;
        let mut engines = instance.engines(&self.service, &self.tried, false);
        if engines.is_empty() {
            engines = instance.engines(&self.service, &[], true);
        }
        let now = instance.clock.now();
        let luck = fastrand::u64(..);
        let Some(figures) = &self.service.figures else {
            let Some(first) = pick(&engines, luck) else {
                return Choice::Wait;
            };
            return Choice::Place(Placement {
                background: false,
                first,
                helpers: Vec::new(),
                light: false,
                part: Duration::ZERO,
                rest: 0,
                wait: self.route.objective,
            });
        };
        let prompt = self.request.prompt.unwrap_or_default();
        let ask = Ask {
            aim: (self.arrival + self.route.objective).saturating_sub(now),
            gap: self.route.gap,
            left: self.left_to_start(now),
            prompt: prompt.tokens as u32,
            tokens: (prompt.tokens + prompt.answer) as u32,
        };
        place(&ask, figures, &engines, luck)
    }
}
