use std::time::Duration;

use super::entry::Entry;
use crate::id::{AttemptId, Tokens};

/// A request at the engine, with the chunk that was sent last.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Whether the target was cold when the chunk was sent; its times are then not used for the rate estimates.
    pub(super) cold: bool,
    pub(super) entry: Entry,
    pub(super) first_token: Option<Duration>,
    /// Whether the chunk ends the prompt.
    pub(super) last: bool,
    pub(super) sent: Duration,
    /// End of the chunk, exclusive.
    pub(super) to: Tokens,
    /// Tokens of the chunk that are not cached.
    pub(super) uncached: Tokens,
}

impl Running {
    pub(super) fn is_prefilling(&self) -> bool {
        self.first_token.is_none()
    }

    pub(super) fn request(&self) -> AttemptId {
        self.entry.request.id
    }
}
