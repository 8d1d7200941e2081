//! Prefix cache.

use std::cmp::Reverse;

/// Tokens of one block.
pub(super) const BLOCK_TOKENS: u64 = 256;

/// Prefix cache of blocks, which are identified by their chained hashes and evicted least recently used first.
#[derive(Debug, Default)]
pub(super) struct Cache {
    /// Sorted by hash.
    blocks: Vec<Block>,
    /// Counts uses.
    clock: u64,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    /// Index of the block in its prefix.
    depth: usize,
    hash: u64,
    /// Value of the clock at the last use.
    used: u64,
}

impl Cache {
    /// Removes everything.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Number of leading blocks that are cached; marks them as used.
    pub(super) fn lookup(&mut self, hashes: &[u64]) -> u64 {
        self.clock += 1;
        let mut count = 0;
        for hash in hashes {
            let Ok(index) = self.find(*hash) else { break };
            self.blocks[index].used = self.clock;
            count += 1;
        }
        count
    }

    /// Adds the blocks of a prefix as the most recently used ones, and returns those that were not cached.
    pub(super) fn insert(&mut self, hashes: &[u64]) -> Vec<u64> {
        self.clock += 1;
        let used = self.clock;
        let mut stored = Vec::new();
        for (depth, &hash) in hashes.iter().enumerate() {
            match self.find(hash) {
                Ok(index) => self.blocks[index].used = used,
                Err(index) => {
                    self.blocks.insert(index, Block { depth, hash, used });
                    stored.push(hash);
                }
            }
        }
        stored
    }

    /// Memory held, in tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Evicts blocks until at most `tokens` are held, and returns them. The blocks of one prefix are evicted from its
    /// end, because a block is never found without the blocks before it.
    pub(super) fn trim(&mut self, tokens: u64) -> Vec<u64> {
        let keep = usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        if self.blocks.len() <= keep {
            return Vec::new();
        }
        self.blocks
            .sort_unstable_by_key(|block| (Reverse(block.used), block.depth));
        let mut removed: Vec<u64> = self.blocks.drain(keep..).map(|block| block.hash).collect();
        removed.sort_unstable();
        self.blocks.sort_unstable_by_key(|block| block.hash);
        removed
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&hash, |block| block.hash)
    }
}
