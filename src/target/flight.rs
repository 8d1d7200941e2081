use std::time::Duration;

use super::entry::Entry;
use crate::id::{AttemptId, Tokens};

/// A piece of a request at the engine.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) cold: bool,
    pub(super) entry: Entry,
    pub(super) first_token: Option<Duration>,
    pub(super) last: bool,
    /// Uncached tokens of the piece.
    pub(super) piece: Tokens,
    pub(super) sent: Duration,
    pub(super) to: Tokens,
}

impl Flight {
    pub(super) fn is_prefilling(&self) -> bool {
        self.first_token.is_none()
    }

    pub(super) fn request(&self) -> AttemptId {
        self.entry.request.id
    }
}
