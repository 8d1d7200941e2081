use std::time::Duration;

use crate::id::Tokens;

/// A request of a load and the time at which it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Selects the instance: its index is the remainder of a division by the number of ready instances.
    pub entry: usize,
    /// Random number that makes the text of the request unique.
    pub nonce: u64,
    /// What the request asks for.
    pub work: Work,
    /// Index of the workspace that sends it.
    pub workspace: usize,
}

/// Content of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A completion of `generated` tokens after a prompt of `tokens` tokens.
    Prompt {
        /// Tokens to generate.
        generated: Tokens,
        /// Index of the preamble that the prompt shares with others of its workspace.
        preamble: u64,
        /// Length of the prompt in tokens.
        tokens: Tokens,
    },
    /// A service call that may be repeated.
    Question,
    /// A service call that must run at most once.
    Sale {
        /// Whether an instance issues the idempotency key; otherwise the caller makes it.
        issued: bool,
    },
}
