use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::State;
use crate::id::Tokens;

/// Load of a target as routing sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Predicted wait of a new short request.
    pub backlog: Duration,
    /// Memory that a prompt of any class may take on an empty target: all but the reserve for short prompts.
    pub capacity: Tokens,
    /// Memory not in use, the reserve included.
    pub free: Tokens,
    /// Whether the queue limit is reached.
    pub full: bool,
    /// Most memory that a new gang hold may take; smaller than `free` by the unused part of the reserve.
    pub holdable: Tokens,
    /// Long prompts whose prefill is not finished, queued ones included.
    pub long: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Requests at the engine, foreign streams included.
    pub running: u32,
    /// State of the target.
    pub state: State,
}
