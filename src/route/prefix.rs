use std::hash::Hasher;

use fnv::FnvHasher;

use crate::id::TOKEN_BYTES;

/// Tokens per block, the unit in which engines cache prompts.
pub const BLOCK_TOKENS: usize = 256;

/// Maximum number of leading blocks used for routing; longer prefixes distinguish targets no better.
const PREFIX_BLOCKS: usize = 32;

/// Hashes of the leading blocks of a prompt, the same as in the cache events of engines: the 64-bit FNV-1a state after
/// each block. Equal hashes mean equal prefixes.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut hasher = FnvHasher::default();
    text.as_bytes()
        .chunks_exact(BLOCK_TOKENS * TOKEN_BYTES)
        .take(PREFIX_BLOCKS)
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}
