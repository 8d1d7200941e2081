use std::hash::Hasher;

use fnv::FnvHasher;

use crate::id::TOKEN_BYTES;

/// Tokens of one block, the unit in which engines cache prompts.
pub const BLOCK_TOKENS: usize = 256;

/// Leading blocks that take part in routing; longer common prefixes tell targets apart no better.
const PREFIX_BLOCKS: usize = 32;

/// Hashes of the leading blocks of a prompt as engines report them in cache events: the FNV-1a state (64 bit) after each
/// block. Equal hashes mean equal prefixes.
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
