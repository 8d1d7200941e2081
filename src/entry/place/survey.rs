use super::split::is_free;
use super::{Placer, Requirements, MAX_PARTS};
use crate::entry::{Engine, Profile};

/// Numbers of engines that a long prompt can use, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Survey {
    /// Engines for long prompts without backlog.
    pub free: usize,
    /// Engines for long prompts.
    pub long: usize,
    /// Engines for long prompts without backlog that have room for the shortest possible part of the prompt.
    pub with_room: usize,
}

/// Counts the engines for a prompt.
pub fn survey(requirements: &Requirements, profile: &Profile, engines: &[Engine]) -> Survey {
    if engines.is_empty() {
        return Survey::default();
    }
    let placer = Placer::new(requirements, profile, engines, 0);
    let long = &placer.order[placer.short_engines..];
    let part_time = placer.prefill_time / MAX_PARTS.min(long.len().max(1)) as u32;
    let free = long.iter().filter(|engine| is_free(engine));
    Survey {
        free: free.clone().count(),
        long: long.len(),
        with_room: free
            .filter(|engine| engine.has_room(profile, part_time))
            .count(),
    }
}
