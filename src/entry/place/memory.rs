use super::{Helper, Placer};
use crate::entry::Engine;

/// Tokens of memory that engines give out at a time, or a multiple of it.
const BLOCK: u32 = 256;

impl Placer<'_> {
    /// Spreads the context: what the first engine has no memory for is set aside at helpers, the largest shares first.
    /// Returns the tokens that stay at the first engine, and the helpers; none if the memory is not there.
    pub(super) fn spread_context(
        &self,
        primary: &Engine,
        helpers: &[&Engine],
    ) -> Option<(u32, Vec<Helper>)> {
        let (profile, tokens) = (self.profile, self.demand.tokens);
        let mut over = tokens.saturating_sub(primary.free_tokens(profile));
        let mut free: Vec<(u32, usize)> = helpers
            .iter()
            .enumerate()
            .map(|(at, engine)| (engine.free_tokens(profile), at))
            .collect();
        free.sort_unstable_by(|a, b| b.cmp(a));
        let mut reserved = vec![0; helpers.len()];
        let mut total: u32 = 0;
        for (free, at) in free {
            if over == 0 {
                break;
            }
            let share = over.next_multiple_of(BLOCK).min(free / BLOCK * BLOCK);
            reserved[at] = share;
            total += share;
            over = over.saturating_sub(share);
        }
        if over > 0 {
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
