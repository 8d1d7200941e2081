//! Chained hashes of prefix blocks.

use crate::text;

/// Bytes of one block of the prefix cache: 256 tokens.
const BLOCK_BYTES: usize = 256 * text::TOKEN_BYTES;

/// Hash state of a text, and the hash states at the ends of its blocks, which serve as chained block hashes.
#[derive(Clone, Debug)]
pub(super) struct Chain {
    /// Hash state before the text.
    pub(super) base: u64,
    /// Hash states at the block ends.
    pub(super) blocks: Vec<u64>,
    /// Length of the text.
    bytes: usize,
    /// Hash state after the text.
    pub(super) state: u64,
}

impl Chain {
    /// A chain that continues a text with hash state `state`.
    pub(super) fn new(state: u64) -> Self {
        Self {
            base: state,
            blocks: Vec::new(),
            bytes: 0,
            state,
        }
    }

    /// Appends text.
    pub(super) fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = BLOCK_BYTES - self.bytes % BLOCK_BYTES;
            let (head, tail) = bytes.split_at(room.min(bytes.len()));
            self.state = text::extend_hash(self.state, head);
            self.bytes += head.len();
            if self.bytes.is_multiple_of(BLOCK_BYTES) {
                self.blocks.push(self.state);
            }
            bytes = tail;
        }
    }

    /// Generates the next token and appends it.
    pub(super) fn generate(&mut self) -> String {
        let (token, _) = text::next_token(self.state);
        self.extend(token.as_bytes());
        token
    }
}
