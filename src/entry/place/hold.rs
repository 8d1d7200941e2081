use super::{Fleet, Helper};
use crate::entry::Engine;

/// Tokens of memory that engines give out at a time, or a multiple of it.
const BLOCK: u32 = 256;

impl Fleet<'_> {
    /// Spreads the context: what the first engine has no memory for is set aside at helpers, the largest shares first.
    /// Returns the tokens that stay at the first engine, and the helpers; none if the memory is not there.
    pub(super) fn hold(&self, first: &Engine, helpers: &[&Engine]) -> Option<(u32, Vec<Helper>)> {
        let (figures, tokens) = (self.figures, self.ask.tokens);
        let mut over = tokens.saturating_sub(first.free(figures));
        let mut free: Vec<(u32, usize)> = helpers
            .iter()
            .enumerate()
            .map(|(at, engine)| (engine.free(figures), at))
            .collect();
        free.sort_unstable_by(|a, b| b.cmp(a));
        let mut holds = vec![0; helpers.len()];
        let mut held: u32 = 0;
        for (free, at) in free {
            if over == 0 {
                break;
            }
            let share = over.next_multiple_of(BLOCK).min(free / BLOCK * BLOCK);
            holds[at] = share;
            held += share;
            over = over.saturating_sub(share);
        }
        if over > 0 {
            return None;
        }
        let helpers = helpers.iter().zip(holds).map(|(engine, hold)| Helper {
            hold,
            target: engine.target.clone(),
        });
        Some((tokens.saturating_sub(held), helpers.collect()))
    }
}
