use std::time::Duration;

use super::hold::WRITE_TIME;
use super::{
    short_engines_for, Placer, Requirements, MAX_PARTS, MIN_UNSEEN, SHORT_RUN_TIME, SINGLE_LIMIT,
};
use crate::entry::{Engine, Profile};

/// An engine that can prefill parts of a long prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usable {
    /// Time after which it can.
    pub after: Duration,
    /// Factor by which it is slower than its profile; at least 1.
    pub slowdown: f64,
}

/// Whether a prompt of `tokens` tokens is split over several engines.
pub fn is_long(profile: &Profile, tokens: u32) -> bool {
    profile.prefill_time(tokens) > SINGLE_LIMIT
}

/// Engines that a long prompt can use, by an optimistic estimate, soonest first, and whether its parts are processed
/// before those of earlier prompts, because they are short. The prompt has waited for `waited`, so that requests which
/// ran when it arrived have run for that long.
///
/// Slots and memory are not considered: only one engine needs a slot, and one of many becomes free soon.
pub fn usable(
    requirements: &Requirements,
    profile: &Profile,
    engines: &[Engine],
    waited: Duration,
) -> (Vec<Usable>, bool) {
    let placer = Placer::new(requirements, profile, engines, 0);
    let short = placer.is_short();
    // What stays for short prompts when those that run now have ended.
    let kept = match short {
        true => 0,
        false => short_engines_for(MIN_UNSEEN, engines.len(), profile),
    };
    let parts = engines.len().clamp(1, MAX_PARTS) as u32;
    let part_time = placer.prefill_time / parts;
    let candidates = placer.order.iter().enumerate().skip(kept);
    let usable = candidates.map(|(at, engine)| {
        let runs_short = !short && at < placer.short_engines;
        let free = placer.run_time(engine, runs_short, part_time);
        let backlog = placer.backlog_ahead(engine, short, part_time);
        Usable {
            after: free.saturating_sub(waited).max(backlog),
            slowdown: engine.slowdown.max(1.0),
        }
    });
    let mut usable: Vec<Usable> = usable.collect();
    usable.sort_unstable_by_key(|engine| engine.after);
    (usable, short)
}

impl Placer<'_> {
    /// Time for which requests that exclude a part run at an engine.
    fn run_time(&self, engine: &Engine, runs_short: bool, part_time: Duration) -> Duration {
        let limit = engine.part_limit(self.profile);
        let is_blocked = limit.is_some_and(|limit| limit < part_time);
        match (runs_short, is_blocked, engine.load.short) {
            (true, _, _) | (false, true, 1..) => SHORT_RUN_TIME,
            (false, true, 0) => WRITE_TIME,
            (false, false, _) => Duration::ZERO,
        }
    }

    /// Backlog that a part has to wait for. A short part only waits until it fits into the gap.
    fn backlog_ahead(&self, engine: &Engine, short: bool, part_time: Duration) -> Duration {
        if !short {
            return engine.backlog();
        }
        match engine.part_limit(self.profile) {
            Some(limit) if limit >= part_time => {
                (engine.load.backlog + part_time).saturating_sub(limit)
            }
            Some(_) | None => Duration::ZERO,
        }
    }
}
