use std::time::Duration;

use super::{Choice, Fleet, Placement, MOST_PARTS, WHOLE};
use crate::entry::Engine;

/// Shortest part of a prompt that is worth a helper: about one step of reading.
const LEAST_PART: Duration = Duration::from_millis(14);

/// Numbers of engines that are tried for a prompt; those between them hardly differ.
const COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MOST_PARTS];

/// Cost of one more helper, as time: each one can fail or be late.
const HELPER_COST: Duration = Duration::from_millis(3);

/// Longest reading ahead at an engine that gets a part of a long prompt. Engines read the newest part first, so a part
/// that is sent early holds up the older ones, and what is beyond waits here. The time covers two beats, so that engines
/// do not stand idle until the news arrives that they are free.
const AHEAD: Duration = Duration::from_millis(100);

/// Share of the time left within which a prompt that is late anyway has to be read, as predicted without newer work.
const LATE_TIME: f64 = 0.6;

impl Fleet<'_> {
    /// Places a prompt that several engines read: on time, or else late behind all newer work.
    pub(super) fn together(&self) -> Choice {
        let light = self.is_light();
        if let Some(placement) = self.on_time(light) {
            return Choice::Place(placement);
        }
        let most = self.order.len().min(MOST_PARTS) as u32;
        let Some(least) = self.read.checked_div(most) else {
            return Choice::Wait;
        };
        if least < self.ask.aim {
            // There may be room in time.
            return Choice::Wait;
        }
        match self.late(light) {
            Some(placement) => Choice::Place(placement),
            None if least < self.ask.left => Choice::Wait,
            None => Choice::Hopeless,
        }
    }

    /// Whether a part of the prompt can be read beside writers with the same pauses.
    fn is_light(&self) -> bool {
        let parts = self.order.len().clamp(1, MOST_PARTS) as u32;
        let shortest = self.ask.gap.min(self.ask.aim);
        let bearable = shortest.saturating_sub(self.figures.pass()) / 4;
        self.read / parts <= bearable.min(WHOLE)
    }

    /// The number of engines with which the prompt is read first, if that is on time.
    fn on_time(&self, light: bool) -> Option<Placement> {
        let readers: Vec<(usize, &Engine)> = self
            .readers(light)
            .into_iter()
            .filter(|(_, engine)| light || engine.backlog() <= AHEAD)
            .collect();
        let mut best: Option<(Duration, Placement)> = None;
        for count in COUNTS.into_iter().filter(|count| *count <= readers.len()) {
            let part = self.read / count as u32;
            if count > 1 && part < LEAST_PART {
                break;
            }
            let Some(placement) = self.by(count, &readers, light) else {
                continue;
            };
            let cost = placement.wait + HELPER_COST * count as u32;
            let is_better = best.as_ref().is_none_or(|(least, _)| cost < *least);
            if placement.wait <= self.ask.aim && is_better {
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// A placement on as many engines as are free, where newer parts come first.
    fn late(&self, light: bool) -> Option<Placement> {
        let readers = self.readers(light);
        let is_free = |engine: &Engine| engine.backlog() + engine.background() <= AHEAD;
        if !readers.iter().all(|(_, engine)| is_free(engine)) {
            return None;
        }
        let limit = self.ask.left.mul_f64(LATE_TIME);
        let placement = self.by(readers.len().min(MOST_PARTS), &readers, light)?;
        (placement.wait <= limit).then_some(Placement {
            background: true,
            ..placement
        })
    }

    /// Engines that may read, those with the least ahead first. A long prompt is kept away from the engines of the
    /// writers with short pauses.
    fn readers(&self, light: bool) -> Vec<(usize, &Engine)> {
        let from = if light { 0 } else { self.split };
        let mut readers: Vec<(usize, &Engine)> =
            self.order.iter().copied().enumerate().skip(from).collect();
        readers.sort_by_key(|(at, engine)| {
            (
                self.end(engine, Duration::ZERO),
                *at < self.split,
                self.mix(*at),
            )
        });
        readers
    }

    /// A placement on `count` of the engines.
    fn by(&self, count: usize, readers: &[(usize, &Engine)], light: bool) -> Option<Placement> {
        let part = self.read.checked_div(count as u32)?;
        let has_room = |engine: &Engine| engine.room(self.figures).is_none_or(|room| room >= part);
        let open: Vec<(usize, &Engine)> = readers
            .iter()
            .filter(|(_, engine)| has_room(engine))
            .copied()
            .collect();
        let first = self.first(&open, light)?;
        let helpers: Vec<&Engine> = open
            .iter()
            .map(|(_, engine)| *engine)
            .filter(|engine| engine.key != first.key)
            .take(count - 1)
            .collect();
        if helpers.len() < count - 1 {
            return None;
        }
        let end = |engine: &Engine| match light {
            // The newest part is read first, and a short one holds up the others by little.
            true => self.end(engine, part).saturating_sub(engine.backlog()),
            false => self.end(engine, part),
        };
        let wait = helpers
            .iter()
            .map(|engine| end(engine))
            .fold(end(first), Duration::max);
        let (rest, helpers) = self.hold(first, &helpers)?;
        Some(Placement {
            background: false,
            first: first.target.clone(),
            helpers,
            light,
            part,
            rest,
            wait,
        })
    }

    /// The engine that gets the request itself: one of the writers for a prompt whose parts are short, another one for
    /// a long prompt.
    fn first<'a>(&self, open: &[(usize, &'a Engine)], light: bool) -> Option<&'a Engine> {
        open.iter()
            .filter(|(_, engine)| engine.has_slot(self.figures))
            .min_by_key(|(at, engine)| {
                let has_memory = engine.free(self.figures) >= self.ask.tokens;
                let is_home = (*at < self.split) == light;
                let coarse = engine.backlog().as_millis() / 50;
                (
                    !has_memory,
                    !is_home,
                    coarse,
                    engine.load.running,
                    self.mix(*at),
                )
            })
            .map(|(_, engine)| *engine)
    }
}
