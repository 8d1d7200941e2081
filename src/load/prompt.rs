use super::arrival::Arrival;
use crate::id::{Tokens, TOKEN_BYTES};

/// Length of a preamble in tokens: two blocks of the prefix cache.
const PREAMBLE_TOKENS: usize = 512;

/// Text of a prompt: a preamble that it shares with other prompts of its workspace, then text that is unique to the
/// arrival.
pub(super) fn prompt(arrival: &Arrival, preamble: u64, tokens: Tokens) -> String {
    let length = tokens as usize * TOKEN_BYTES;
    let mut text = String::with_capacity(length + 32);
    let shared = format!("workspace {} dossier {preamble} ", arrival.workspace);
    fill(&mut text, &shared, PREAMBLE_TOKENS * TOKEN_BYTES);
    fill(&mut text, &format!("lot {:016x} ", arrival.nonce), length);
    text
}

/// Repeats `piece` until `text` has `length` bytes.
fn fill(text: &mut String, piece: &str, length: usize) {
    while text.len() < length {
        text.push_str(piece);
    }
    text.truncate(length);
}
