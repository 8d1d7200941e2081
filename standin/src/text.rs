//! Deterministic generation: the response is a function of the prompt, so that callers can check it.

use std::hash::Hasher;

use fnv::FnvHasher;

/// Bytes of one token.
pub const TOKEN_BYTES: usize = 4;

/// Hash state of the empty text.
#[must_use]
pub fn empty_hash() -> u64 {
    FnvHasher::default().finish()
}

/// Hash state after appending `text` to a text with hash state `state` (64-bit FNV-1a).
#[must_use]
pub fn extend_hash(state: u64, text: &[u8]) -> u64 {
    let mut hasher = FnvHasher::with_key(state);
    hasher.write(text);
    hasher.finish()
}

/// The token that follows a text with hash state `state`, and the hash state after it.
#[must_use]
pub fn next_token(state: u64) -> (String, u64) {
    let token = format!("{:03x} ", state & 0xfff);
    let state = extend_hash(state, token.as_bytes());
    (token, state)
}

/// The `count` tokens that follow `prompt`.
#[must_use]
pub fn response(prompt: &str, count: usize) -> String {
    let mut state = extend_hash(empty_hash(), prompt.as_bytes());
    let mut text = String::with_capacity(count * TOKEN_BYTES);
    for _ in 0..count {
        let (token, next) = next_token(state);
        text.push_str(&token);
        state = next;
    }
    text
}

/// Number of tokens in `text`: one for every four bytes, rounded up.
#[must_use]
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}
