use std::time::Duration;

use super::{Choice, Placement, Placer, MAX_PARTS, SINGLE_LIMIT};
use crate::entry::Engine;

/// Shortest part of a prompt that is worth a helper: about one step of reading.
const MIN_PART_TIME: Duration = Duration::from_millis(14);

/// Numbers of engines that are tried for a prompt; those between them hardly differ.
const ENGINE_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MAX_PARTS];

/// Cost of one more helper, as time: each one can fail or be late.
const HELPER_COST: Duration = Duration::from_millis(3);

/// Longest reading ahead at an engine that gets a part of a long prompt. Engines read the newest part first, so a part
/// that is sent early holds up the older ones, and what is beyond waits here. The time covers two beats, so that engines
/// do not stand idle until the news arrives that they are free.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// Share of the time left within which a prompt that is late anyway has to be read, as predicted without newer work.
const LATE_SHARE: f64 = 0.6;

impl Placer<'_> {
    /// Places a prompt that several engines read: on time, or else late behind all newer work.
    pub(super) fn place_split(&self) -> Choice {
        let short = self.is_short();
        if let Some(placement) = self.on_time(short) {
            return Choice::Place(placement);
        }
        let most = self.order.len().min(MAX_PARTS) as u32;
        let Some(least) = self.prefill_time.checked_div(most) else {
            return Choice::Wait;
        };
        if least < self.demand.objective {
            // There may be room in time.
            return Choice::Wait;
        }
        match self.late(short) {
            Some(placement) => Choice::Place(placement),
            None if least < self.demand.deadline => Choice::Wait,
            None => Choice::Refuse,
        }
    }

    /// Whether a part of the prompt can be read beside writers with the same pauses.
    fn is_short(&self) -> bool {
        let parts = self.order.len().clamp(1, MAX_PARTS) as u32;
        let shortest = self.demand.gap.min(self.demand.objective);
        let bearable = shortest.saturating_sub(self.profile.pass_time()) / 4;
        self.prefill_time / parts <= bearable.min(SINGLE_LIMIT)
    }

    /// The number of engines with which the prompt is read first, if that is on time.
    fn on_time(&self, short: bool) -> Option<Placement> {
        let readers: Vec<(usize, &Engine)> = self
            .readers(short)
            .into_iter()
            .filter(|(_, engine)| short || engine.backlog() <= MAX_BACKLOG)
            .collect();
        let mut best: Option<(Duration, Placement)> = None;
        for count in ENGINE_COUNTS
            .into_iter()
            .filter(|count| *count <= readers.len())
        {
            let part_time = self.prefill_time / count as u32;
            if count > 1 && part_time < MIN_PART_TIME {
                break;
            }
            let Some(placement) = self.on(count, &readers, short) else {
                continue;
            };
            let cost = placement.wait + HELPER_COST * count as u32;
            let is_better = best.as_ref().is_none_or(|(least, _)| cost < *least);
            if placement.wait <= self.demand.objective && is_better {
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// A placement on as many engines as are free, where newer parts come first.
    fn late(&self, short: bool) -> Option<Placement> {
        let readers = self.readers(short);
        let is_free = |engine: &Engine| engine.backlog() + engine.background() <= MAX_BACKLOG;
        if !readers.iter().all(|(_, engine)| is_free(engine)) {
            return None;
        }
        let limit = self.demand.deadline.mul_f64(LATE_SHARE);
        let placement = self.on(readers.len().min(MAX_PARTS), &readers, short)?;
        (placement.wait <= limit).then_some(Placement {
            background: true,
            ..placement
        })
    }

    /// Engines that may read, those with the least ahead first. A long prompt is kept away from the engines of the
    /// writers with short pauses.
    fn readers(&self, short: bool) -> Vec<(usize, &Engine)> {
        let from = if short { 0 } else { self.short_engines };
        let mut readers: Vec<(usize, &Engine)> =
            self.order.iter().copied().enumerate().skip(from).collect();
        readers.sort_by_key(|(at, engine)| {
            (
                self.end(engine, Duration::ZERO),
                *at < self.short_engines,
                self.tie_break(*at),
            )
        });
        readers
    }

    /// A placement on `count` of the engines.
    fn on(&self, count: usize, readers: &[(usize, &Engine)], short: bool) -> Option<Placement> {
        let part_time = self.prefill_time.checked_div(count as u32)?;
        let has_room = |engine: &Engine| {
            engine
                .prefill_room(self.profile)
                .is_none_or(|room| room >= part_time)
        };
        let with_room: Vec<(usize, &Engine)> = readers
            .iter()
            .filter(|(_, engine)| has_room(engine))
            .copied()
            .collect();
        let primary = self.primary(&with_room, short)?;
        let helpers: Vec<&Engine> = with_room
            .iter()
            .map(|(_, engine)| *engine)
            .filter(|engine| engine.key != primary.key)
            .take(count - 1)
            .collect();
        if helpers.len() < count - 1 {
            return None;
        }
        let end = |engine: &Engine| match short {
            // The newest part is read first, and a short one holds up the others by little.
            true => self.end(engine, part_time).saturating_sub(engine.backlog()),
            false => self.end(engine, part_time),
        };
        let wait = helpers
            .iter()
            .map(|engine| end(engine))
            .fold(end(primary), Duration::max);
        let (primary_tokens, helpers) = self.spread_context(primary, &helpers)?;
        Some(Placement {
            background: false,
            primary: primary.target.clone(),
            helpers,
            short,
            part_time,
            primary_tokens,
            wait,
        })
    }

    /// The engine that gets the request itself: one of the writers for a prompt whose parts are short, another one for
    /// a long prompt.
    fn primary<'a>(&self, with_room: &[(usize, &'a Engine)], short: bool) -> Option<&'a Engine> {
        with_room
            .iter()
            .filter(|(_, engine)| engine.has_slot(self.profile))
            .min_by_key(|(at, engine)| {
                let has_memory = engine.free_tokens(self.profile) >= self.demand.tokens;
                let is_preferred = (*at < self.short_engines) == short;
                let coarse = engine.backlog().as_millis() / 50;
                (
                    !has_memory,
                    !is_preferred,
                    coarse,
                    engine.load.running,
                    self.tie_break(*at),
                )
            })
            .map(|(_, engine)| *engine)
    }
}
