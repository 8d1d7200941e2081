use std::time::Duration;

use crate::id::Tokens;

/// Blocks that are predicted to be in the engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    /// Hash and time of the last use, sorted.
    blocks: Vec<(u64, Duration)>,
}

impl Cache {
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Adds blocks, and evicts the least recently used ones above `capacity`.
    pub(super) fn insert(&mut self, hashes: &[u64], capacity: usize, now: Duration) {
        let mut missing = Vec::new();
        for hash in hashes {
            match self.find(*hash) {
                Ok(at) => self.blocks[at].1 = now,
                Err(_) => missing.push((*hash, now)),
            }
        }
        if missing.is_empty() {
            return;
        }
        self.blocks.append(&mut missing);
        if self.blocks.len() > capacity {
            self.blocks
                .sort_by_key(|(_, used)| std::cmp::Reverse(*used));
            self.blocks.truncate(capacity);
        }
        self.blocks.sort_unstable();
        self.blocks.dedup_by_key(|(hash, _)| *hash);
    }

    /// Tokens of the leading blocks of `hashes` that are predicted to be cached.
    pub(super) fn cached_tokens(&self, hashes: &[u64], block: Tokens) -> Tokens {
        let known = hashes
            .iter()
            .take_while(|hash| self.find(**hash).is_ok())
            .count();
        (known as Tokens).saturating_mul(block)
    }

    pub(super) fn remove(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if let Ok(at) = self.find(*hash) {
                self.blocks.remove(at);
            }
        }
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&hash, |(hash, _)| *hash)
    }
}
