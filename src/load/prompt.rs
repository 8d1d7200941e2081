use super::arrival::Arrival;
use crate::id::{Tokens, TOKEN_BYTES};

/// Tokens at the start of a prompt that others of the same workspace share; two blocks of the prefix cache.
const PREAMBLE: usize = 512;

/// Text of a prompt: a shared preamble, then text that no other arrival has.
pub(super) fn prompt(arrival: &Arrival, preamble: u64, tokens: Tokens) -> String {
    let length = tokens as usize * TOKEN_BYTES;
    let mut text = String::with_capacity(length + 32);
    let shared = format!("workspace {} dossier {preamble} ", arrival.workspace);
    fill(&mut text, &shared, PREAMBLE * TOKEN_BYTES);
    fill(&mut text, &format!("lot {:016x} ", arrival.nonce), length);
    text
}

fn fill(text: &mut String, piece: &str, length: usize) {
    while text.len() < length {
        text.push_str(piece);
    }
    text.truncate(length);
}
