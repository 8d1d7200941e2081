//! Requests and the streams that they open.

use std::sync::Arc;

use serde::Deserialize;

use crate::engine::chain::Chain;
use crate::signal::Signal;
use crate::text::TOKEN_BYTES;

/// Body of a completions request.
#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    pub(super) attempt: String,
    #[serde(default)]
    pub(super) context: Vec<String>,
    #[serde(default)]
    pub(super) handle: Option<String>,
    pub(super) max_tokens: u64,
    pub(super) model: String,
    #[serde(default)]
    pub(super) priority: i64,
    pub(super) prompt: String,
    /// Tokens of an earlier run at the end of the prompt; the first index.
    #[serde(default)]
    pub(super) resume: u64,
}

/// Progress of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Tokens are generated.
    Decode,
    /// All tokens were generated.
    Finished,
    /// The prompt is being computed.
    Prefill,
    /// The prompt waits for the prefill of others.
    Waiting,
}

/// One request that holds memory.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) attempt: String,
    pub(super) cached: u64,
    pub(super) chain: Chain,
    pub(super) context: Vec<String>,
    /// How often the last reader left.
    pub(super) departures: u64,
    /// Index of the first generated token.
    pub(super) first: u64,
    pub(super) handle: Option<String>,
    pub(super) max_tokens: u64,
    pub(super) phase: Phase,
    pub(super) priority: i64,
    pub(super) prompt: u64,
    pub(super) readers: usize,
    /// Memory set aside for prompt and response, in tokens.
    pub(super) reserved: u64,
    pub(super) serial: u64,
    pub(super) signal: Arc<Signal>,
    /// Generated text.
    pub(super) text: String,
}

impl Stream {
    /// Number of generated tokens.
    pub(super) fn generated(&self) -> u64 {
        (self.text.len() / TOKEN_BYTES) as u64
    }

    /// Token `index` of the response.
    pub(super) fn token(&self, index: u64) -> Option<&str> {
        let place = usize::try_from(index.checked_sub(self.first)?).ok()?;
        let start = place.checked_mul(TOKEN_BYTES)?;
        self.text.get(start..start.checked_add(TOKEN_BYTES)?)
    }
}
