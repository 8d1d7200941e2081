use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, TargetId, Tokens};
use crate::target::Load;

/// Reserves memory on one target for a part of a long prompt; the same message renews or releases the reservation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hold {
    /// Ids of the preceding parts, whose handles are imported on the target.
    pub context: Vec<AttemptId>,
    /// Times that the message has been forwarded.
    pub hops: u8,
    /// Id of the part; also the id of its handle on the engine.
    pub part: AttemptId,
    /// Whether to release the reservation instead of making or renewing it.
    pub release: bool,
    /// Target with the memory.
    pub target: TargetId,
    /// Memory to reserve.
    pub tokens: Tokens,
}

/// Answer to a [`Hold`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Held {
    /// Whether the memory is reserved, or released if that was asked for.
    pub held: bool,
    /// Load of the target afterwards.
    pub load: Load,
}

/// Asks to prefill a segment of a long prompt into the handle of a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Tickets of the exported handles of the preceding parts, in order, to import first.
    pub imports: Vec<String>,
    /// Whether the handle already exists and is to be extended.
    pub extend: bool,
    /// Times that the message has been forwarded.
    pub hops: u8,
    /// Model to use.
    pub model: String,
    /// Id of the part; also the id of its handle on the engine.
    pub part: AttemptId,
    /// Handles on the target that precede the part.
    pub context: Vec<AttemptId>,
    /// Target of the part.
    pub target: TargetId,
    /// Text of the segment.
    pub text: String,
    /// Workspace of the caller.
    pub workspace: String,
}
