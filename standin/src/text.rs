//! Deterministic text: anyone who has the prompt can compute the response.

use std::hash::Hasher;

use fnv::FnvHasher;

/// Bytes of one token.
pub const TOKEN_BYTES: usize = 4;

/// Hash state of the empty text.
#[must_use]
pub fn empty() -> u64 {
    FnvHasher::default().finish()
}

/// Hash state after `text` was added to a text with hash state `state` (FNV-1a, 64 bit).
#[must_use]
pub fn extend(state: u64, text: &[u8]) -> u64 {
    let mut hasher = FnvHasher::with_key(state);
    hasher.write(text);
    hasher.finish()
}

/// The next token after a text with hash state `state`, and the state that includes it.
#[must_use]
pub fn next_token(state: u64) -> (String, u64) {
    let token = format!("{:03x} ", state & 0xfff);
    let state = extend(state, token.as_bytes());
    (token, state)
}

/// The `count` tokens that follow `prompt`.
#[must_use]
pub fn response(prompt: &str, count: usize) -> String {
    let mut state = extend(empty(), prompt.as_bytes());
    let mut text = String::with_capacity(count * TOKEN_BYTES);
    for _ in 0..count {
        let (token, next) = next_token(state);
        text.push_str(&token);
        state = next;
    }
    text
}

/// Number of tokens of a prompt: four bytes each, rounded up.
#[must_use]
pub fn tokens(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}
