use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::State;
use crate::id::Tokens;

/// What routing sees of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Predicted wait of a new short request.
    pub backlog: Duration,
    /// Memory that a prompt of any class may take at most when the target is empty; the reserve is left out.
    pub capacity: Tokens,
    /// Memory not in use.
    pub free: Tokens,
    /// Whether the queue limit is reached.
    pub full: bool,
    /// Memory that a new gang hold may have at most; less than `free` by what remains of the reserve.
    pub holdable: Tokens,
    /// Long prompts whose prefill is not finished, waiting ones included.
    pub long: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Requests at the engine, foreign streams included.
    pub running: u32,
    /// State of the target.
    pub state: State,
}
