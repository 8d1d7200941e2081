use std::time::Duration;

use super::{Choice, Placement, Placer, MAX_PARTS, SINGLE_LIMIT};
use crate::entry::Engine;

/// Minimum prefill time of a part: shorter ones are not worth a helper. About one prefill step.
const MIN_PART_TIME: Duration = Duration::from_millis(14);

/// Numbers of engines that are tried for a prompt; those in between hardly differ.
pub(super) const ENGINE_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MAX_PARTS];

/// Cost of a helper as time, since each one may fail or be late.
pub(super) const HELPER_COST: Duration = Duration::from_millis(3);

/// Maximum backlog of an engine that gets a part of a long prompt. Engines process the newest part first, so a part
/// that is sent early delays the older ones; the rest waits in this instance. The time covers two heartbeats, so that
/// engines do not idle until instances know that they are free.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// Whether the backlog of an engine, with background prefill, allows a part of a long prompt.
pub(super) fn is_free(engine: &Engine) -> bool {
    engine.backlog() + engine.background() <= MAX_BACKLOG
}

/// Share of the remaining time within which the prefill of a background request has to finish, as predicted without
/// newer work.
pub(in crate::entry) const BACKGROUND_SHARE: f64 = 0.6;

/// Number of free engines with which a background request is sent, if not all are free: three times what it gets at most,
/// so that prompts which can still be on time find enough.
const MIN_FREE: usize = 3 * MAX_PARTS;

impl Placer<'_> {
    /// Places a prompt on several engines: within its objective, or else as background work.
    pub(super) fn place_split(&self) -> Choice {
        let short = self.is_short();
        if let Some(placement) = self.on_time(short) {
            return Choice::Place(placement);
        }
        let max_parts = self.order.len().min(MAX_PARTS) as u32;
        let Some(min_part_time) = self.prefill_time.checked_div(max_parts) else {
            return Choice::Wait;
        };
        if let Some(placement) = self.hold(min_part_time) {
            return Choice::Hold(placement);
        }
        if min_part_time < self.requirements.objective {
            // Enough engines may become free in time.
            return Choice::Wait;
        }
        match self.in_background(short) {
            Some(placement) => Choice::Place(placement),
            None if min_part_time < self.requirements.deadline => Choice::Wait,
            None => Choice::Refuse,
        }
    }

    /// Whether the parts of the prompt are so short that they can be processed on engines that decode with the same
    /// gap.
    pub(super) fn is_short(&self) -> bool {
        let parts = self.order.len().clamp(1, MAX_PARTS) as u32;
        let shortest = self.requirements.gap.min(self.requirements.objective);
        let tolerated = shortest.saturating_sub(self.profile.pass_time()) / 4;
        self.prefill_time / parts <= tolerated.min(SINGLE_LIMIT)
    }

    /// The placement with the earliest first event, if it meets the objective.
    fn on_time(&self, short: bool) -> Option<Placement> {
        let candidates: Vec<(usize, &Engine)> = self
            .candidates(short)
            .into_iter()
            .filter(|(_, engine)| short || engine.backlog() <= MAX_BACKLOG)
            .collect();
        let mut best: Option<(Duration, Placement)> = None;
        for count in ENGINE_COUNTS
            .into_iter()
            .filter(|count| *count <= candidates.len())
        {
            let part_time = self.prefill_time / count as u32;
            if count > 1 && part_time < MIN_PART_TIME {
                break;
            }
            let Some(placement) = self.place_on(count, &candidates, short) else {
                continue;
            };
            let cost = placement.wait + HELPER_COST * count as u32;
            let is_better = best.as_ref().is_none_or(|(lowest, _)| cost < *lowest);
            if placement.wait <= self.requirements.objective && is_better {
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// A background placement on as many free engines as possible, if all candidates or enough of them are free. In a
    /// large fleet some engine is always busy.
    fn in_background(&self, short: bool) -> Option<Placement> {
        let candidates = self.candidates(short);
        let free = candidates.iter().filter(|(_, engine)| is_free(engine));
        let free: Vec<(usize, &Engine)> = free.copied().collect();
        if free.len() < candidates.len().min(MIN_FREE) {
            return None;
        }
        let limit = self.requirements.deadline.mul_f64(BACKGROUND_SHARE);
        let placement = self.place_on(free.len().min(MAX_PARTS), &free, short)?;
        (placement.wait <= limit).then_some(Placement {
            background: true,
            ..placement
        })
    }

    /// Engines for the prefill that are not held for other prompts, those with the smallest backlog first. Long prompts
    /// stay off the engines for short ones.
    fn candidates(&self, short: bool) -> Vec<(usize, &Engine)> {
        let from = if short { 0 } else { self.short_engines };
        let mut candidates: Vec<(usize, &Engine)> =
            self.order.iter().copied().enumerate().skip(from).collect();
        candidates.retain(|(_, engine)| !engine.load.held);
        candidates.sort_by_key(|(at, engine)| {
            (
                self.finish_time(engine, Duration::ZERO),
                *at < self.short_engines,
                self.tie_break(*at),
            )
        });
        candidates
    }

    /// A placement on `count` engines.
    fn place_on(
        &self,
        count: usize,
        candidates: &[(usize, &Engine)],
        short: bool,
    ) -> Option<Placement> {
        let part_time = self.prefill_time.checked_div(count as u32)?;
        let with_room: Vec<(usize, &Engine)> = candidates
            .iter()
            .filter(|(_, engine)| engine.has_room(self.profile, part_time))
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
        let finish_time = |engine: &Engine| match short {
            // The newest part is processed first, and a short one delays the others little.
            true => self
                .finish_time(engine, part_time)
                .saturating_sub(engine.backlog()),
            false => self.finish_time(engine, part_time),
        };
        let wait = helpers
            .iter()
            .map(|engine| finish_time(engine))
            .fold(finish_time(primary), Duration::max);
        let (primary_tokens, helpers) = self.spread_context(primary, &helpers)?;
        Some(Placement {
            background: false,
            helpers,
            part_time,
            primary: primary.target.clone(),
            primary_tokens,
            short,
            wait,
        })
    }

    /// The primary engine: preferably one for short prompts if the parts are short, another one otherwise.
    fn primary<'a>(&self, with_room: &[(usize, &'a Engine)], short: bool) -> Option<&'a Engine> {
        with_room
            .iter()
            .filter(|(_, engine)| engine.has_slot(self.profile))
            .min_by_key(|(at, engine)| {
                let has_memory = engine.free_tokens(self.profile) >= self.requirements.tokens;
                let is_preferred = (*at < self.short_engines) == short;
                let coarse_backlog = engine.backlog().as_millis() / 50;
                (
                    !has_memory,
                    !is_preferred,
                    coarse_backlog,
                    engine.load.running,
                    self.tie_break(*at),
                )
            })
            .map(|(_, engine)| *engine)
    }
}
