use std::time::Duration;

use crate::id::{AttemptId, Tokens};

/// Memory of one target that is reserved for a gang.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Hold {
    /// Id of the request, which is also the handle on the engine.
    pub request: AttemptId,
    /// Reserved memory.
    pub tokens: Tokens,
    /// Time at which the hold expires unless it is renewed.
    pub until: Duration,
}
