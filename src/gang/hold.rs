use std::time::Duration;

use crate::id::{AttemptId, Tokens};

/// Memory of one target that is kept for a gang.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Hold {
    /// The request, which is also the handle on the engine.
    pub request: AttemptId,
    /// Memory kept.
    pub tokens: Tokens,
    /// When the hold expires unless it is renewed.
    pub until: Duration,
}
