use super::{Helper, Placer};
use crate::entry::Engine;

/// Allocation unit of an engine's memory, in tokens.
const BLOCK: u32 = 256;

impl Placer<'_> {
    /// Spreads the context over engines: what does not fit into the primary engine's memory is reserved at helpers, the
    /// largest shares first. Returns the tokens that stay at the primary engine, and the helpers; none if there is not
    /// enough memory.
    pub(super) fn spread_context(
        &self,
        primary: &Engine,
        helpers: &[&Engine],
    ) -> Option<(u32, Vec<Helper>)> {
        let (profile, tokens) = (self.profile, self.requirements.tokens);
        let mut remaining = tokens.saturating_sub(primary.free_tokens(profile));
        let mut free: Vec<(u32, usize)> = helpers
            .iter()
            .enumerate()
            .map(|(at, engine)| (engine.free_tokens(profile), at))
            .collect();
        free.sort_unstable_by(|a, b| b.cmp(a));
        let mut reserved = vec![0; helpers.len()];
        let mut total: u32 = 0;
        for (free, at) in free {
            if remaining == 0 {
                break;
            }
            let blocks = remaining.checked_next_multiple_of(BLOCK);
            let share = blocks.unwrap_or(u32::MAX).min(free / BLOCK * BLOCK);
            reserved[at] = share;
            total = total.saturating_add(share);
            remaining = remaining.saturating_sub(share);
        }
        if remaining > 0 {
            return None;
        }
        let helpers = helpers
            .iter()
            .zip(reserved)
            .map(|(engine, reserved)| Helper {
                reserved,
                target: engine.target.clone(),
            });
        Some((tokens.saturating_sub(total), helpers.collect()))
    }
}
