use std::time::Duration;

use crate::id::Tokens;

/// One request of a load, with the time at which it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Picks the entry instance: the remainder of a division by the number of ready instances.
    pub entry: usize,
    /// Number that makes its text unlike that of every other arrival.
    pub nonce: u64,
    /// What is sent.
    pub work: Work,
    /// Sending workspace.
    pub workspace: usize,
}

/// What an arrival asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A completion of `generated` tokens after a prompt of `tokens` tokens.
    Prompt {
        /// Tokens to generate.
        generated: Tokens,
        /// Number of the preamble that the prompt shares with others of its workspace.
        preamble: u64,
        /// Tokens of the prompt.
        tokens: Tokens,
    },
    /// A service call that may be repeated.
    Question,
    /// A service call that may not be repeated.
    Sale {
        /// Whether the key comes from an instance; otherwise the caller makes it.
        issued: bool,
    },
}
