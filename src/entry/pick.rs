use std::rc::Rc;

use super::Engine;
use super::Target;

/// Picks a target of a service without engines: one with free slots, preferably in the local domain, with the least
/// load.
pub fn pick(candidates: &[Engine], seed: u64) -> Option<Rc<Target>> {
    candidates
        .iter()
        .filter(|candidate| candidate.admits)
        .enumerate()
        .min_by_key(|(at, candidate)| {
            let slots = candidate.target.slots.max(1);
            // Small differences in load do not matter while slots are free; a full target queues requests.
            let fill = candidate.load.running.saturating_mul(4) / slots;
            let spread = seed.rotate_left(*at as u32 % 64) & 0xFFFF;
            (fill, !candidate.local, candidate.load.running, spread)
        })
        .map(|(_, candidate)| candidate.target.clone())
}
