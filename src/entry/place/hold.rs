use std::time::Duration;

use super::split::{is_free, ENGINE_COUNTS, HELPER_COST};
use super::{Choice, Placement, Placer, Requirements};
use crate::entry::{Engine, Profile, TargetKey};

/// Time within which requests that write at an engine are expected to end.
pub(super) const WRITE_TIME: Duration = Duration::from_secs(1);

/// Minimum time until a held engine that is not ready is expected to be; instances look about as often.
const MIN_WAIT: Duration = Duration::from_millis(25);

/// Divisor of the number of engines for long prompts: at most this part of them is held.
const HELD_DIVISOR: usize = 3;

/// Chooses what to do with a request for which the engines `held` are held: send it, keep them, or wait without them.
pub fn place_held(
    requirements: &Requirements,
    profile: &Profile,
    engines: &[Engine],
    held: &[TargetKey],
) -> Choice {
    Placer::new(requirements, profile, engines, 0).place_held(held)
}

impl Placer<'_> {
    /// Chooses engines that become free soon, for a prompt whose parts fit beside no other request. Narrower prompts
    /// would otherwise take these engines one by one.
    pub(super) fn hold(&self, min_part_time: Duration) -> Option<Placement> {
        if !self.is_wide(min_part_time) {
            return None;
        }
        let long = &self.order[self.short_engines..];
        let held = long.iter().filter(|engine| engine.load.held).count();
        let limit = long.len() / HELD_DIVISOR;
        let candidates = self.soonest_available(long);
        let wait = |count: usize| candidates[count - 1].0 + self.prefill_time / count as u32;
        let max_count = candidates.len().min(limit);
        let counts = ENGINE_COUNTS.into_iter();
        let counts = counts.take_while(|count| *count <= max_count);
        let count = counts.min_by_key(|count| wait(*count) + HELPER_COST * *count as u32)?;
        if held + count > limit || wait(count) > self.requirements.objective {
            return None;
        }
        let engines = candidates[..count].iter();
        let mut engines: Vec<&Engine> = engines.map(|(_, _, engine)| *engine).collect();
        let primary = engines
            .iter()
            .position(|engine| engine.has_slot(self.profile))?;
        engines.swap(0, primary);
        self.spread(&engines, wait(count))
    }

    /// Engines that are not held, with the time until each is free, soonest first.
    fn soonest_available<'a>(&self, engines: &[&'a Engine]) -> Vec<(Duration, u64, &'a Engine)> {
        let mut available: Vec<(Duration, u64, &Engine)> = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| !engine.load.held)
            .map(|(at, engine)| (self.available_in(engine), self.tie_break(at), *engine))
            .collect();
        available.sort_by_key(|(available_in, order, _)| (*available_in, *order));
        available
    }

    /// Whether even the shortest parts of the prompt exceed the gap of a request like it.
    fn is_wide(&self, min_part_time: Duration) -> bool {
        let pass_time = self.profile.pass_time();
        !self.requirements.gap.is_zero()
            && min_part_time > self.requirements.gap.saturating_sub(pass_time * 2)
    }

    /// Time until an engine has finished its prefill and the requests that write there.
    fn available_in(&self, engine: &Engine) -> Duration {
        let write_time = engine.load.gap.map_or(Duration::ZERO, |_| WRITE_TIME);
        (engine.backlog() + engine.background()).max(write_time)
    }

    /// A placement on exactly these engines, the first one as the primary.
    fn spread(&self, engines: &[&Engine], wait: Duration) -> Option<Placement> {
        let (primary, helpers) = engines.split_first()?;
        let (primary_tokens, helpers) = self.spread_context(primary, helpers)?;
        Some(Placement {
            background: false,
            helpers,
            part_time: self.prefill_time / engines.len() as u32,
            primary: primary.target.clone(),
            primary_tokens,
            short: false,
            wait,
        })
    }

    /// Sends the prompt to the held engines that are ready, unless it is sooner to wait for more of them.
    fn place_held(&self, held: &[TargetKey]) -> Choice {
        let is_held = |engine: &&Engine| held.contains(&engine.key);
        let engines: Vec<&Engine> = self.order.iter().copied().filter(is_held).collect();
        let part_time = self.prefill_time / engines.len().max(1) as u32;
        let (mut ready, busy): (Vec<&Engine>, Vec<&Engine>) = engines
            .into_iter()
            .partition(|engine| self.is_ready(engine, part_time));
        let Some((count, wait)) = self.best_count(ready.len(), &busy) else {
            return Choice::Wait;
        };
        if wait >= self.requirements.deadline {
            return Choice::Wait;
        }
        let primary = ready
            .iter()
            .position(|engine| engine.has_slot(self.profile));
        let (Some(primary), true) = (primary, count <= ready.len()) else {
            return Choice::Keep;
        };
        ready.swap(0, primary);
        let Some(placement) = self.spread(&ready[..count], wait) else {
            return Choice::Keep;
        };
        let is_ready = |engine: &&Engine| self.is_ready(engine, placement.part_time);
        match ready[..count].iter().all(is_ready) {
            true => Choice::Place(placement),
            false => Choice::Keep,
        }
    }

    /// The number of engines with which the prompt is prefilled first, and the time until then; none without engines.
    fn best_count(&self, ready: usize, busy: &[&Engine]) -> Option<(usize, Duration)> {
        let mut waits = vec![Duration::ZERO; ready];
        let until_free = |engine: &&Engine| self.available_in(engine).max(MIN_WAIT);
        waits.extend(busy.iter().map(until_free));
        waits.sort_unstable();
        let counts = 1..=waits.len();
        let finish = |count: usize| waits[count - 1] + self.prefill_time / count as u32;
        let finishes = counts.map(|count| (count, finish(count)));
        finishes.min_by_key(|(_, wait)| *wait)
    }

    /// Whether an engine can process a part now.
    fn is_ready(&self, engine: &Engine, part_time: Duration) -> bool {
        is_free(engine) && engine.has_room(self.profile, part_time)
    }
}
