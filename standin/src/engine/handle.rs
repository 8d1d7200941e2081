//! KV handles, and the tickets with which they are shared between engines.

use serde::{Deserialize, Serialize};

/// A KV cache entry that is kept under a name.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    /// Hash state before its text.
    pub(super) base: u64,
    pub(super) name: String,
    /// Whether the KV is on another engine and uses no memory here.
    pub(super) remote: bool,
    /// Hash state after its text.
    pub(super) state: u64,
    /// Length of its text in tokens.
    pub(super) tokens: u64,
}

/// Description of a handle for other engines. Hash states are written as 16 hexadecimal digits.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Ticket {
    /// Hash state before the text; absent if the text is the start of a prompt.
    #[serde(default)]
    base: Option<String>,
    handle: String,
    state: String,
    tokens: u64,
}

impl From<&Handle> for Ticket {
    fn from(handle: &Handle) -> Self {
        Self {
            base: Some(format!("{:016x}", handle.base)),
            handle: handle.name.clone(),
            state: format!("{:016x}", handle.state),
            tokens: handle.tokens,
        }
    }
}

impl Ticket {
    /// The remote handle, or `None` if a hash state is malformed.
    pub(super) fn handle(self) -> Option<Handle> {
        let state = u64::from_str_radix(&self.state, 16).ok()?;
        let base = self
            .base
            .unwrap_or_else(|| format!("{:016x}", crate::text::empty_hash()));
        Some(Handle {
            base: u64::from_str_radix(&base, 16).ok()?,
            name: self.handle,
            remote: true,
            state,
            tokens: self.tokens,
        })
    }
}
