use std::time::Duration;

use smol::Timer;

use super::outcome::GivenUp;
use super::{Exchange, RouteKind, COME_BACK, COME_BACK_LATER, LOOK};
use crate::entry::{pick, place, Ask, Choice, Engine, Placement};
use crate::error::Kind;
use crate::event;

/// Part of the objective that a request may wait for a place.
const QUEUE_SHARE: u32 = 2;

impl Exchange {
    /// Finds a place, and waits for one for a part of the objective.
    pub(super) async fn find(&self) -> Result<Placement, GivenUp> {
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
                Choice::Place(placement) => return Ok(placement),
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
