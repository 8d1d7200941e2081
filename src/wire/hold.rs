use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, TargetId, Tokens};
use crate::target::Load;

/// Reservation of memory on one target for a part of a long prompt; the same message renews it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hold {
    /// Parts before this one, whose handles are imported on the target.
    pub context: Vec<AttemptId>,
    /// Instances that the message has passed.
    pub hops: u8,
    /// Id of the part; also the id of its handle on the engine.
    pub part: AttemptId,
    /// Whether to give the reservation back instead of taking or renewing it.
    pub release: bool,
    /// Target that holds the memory.
    pub target: TargetId,
    /// Reserved memory.
    pub tokens: Tokens,
}

/// Answer to a [`Hold`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Held {
    /// Whether the memory is reserved, or given back if that was asked.
    pub held: bool,
    /// Load of the target after that.
    pub load: Load,
}

/// A piece of a long prompt to prefill into the handle of a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Exported handles of the parts before, in order, to import first.
    pub imports: Vec<String>,
    /// Whether the handle exists already and is extended.
    pub extend: bool,
    /// Instances that the message has passed.
    pub hops: u8,
    /// Model to use.
    pub model: String,
    /// Id of the part; also the id of its handle on the engine.
    pub part: AttemptId,
    /// Handles on the target that precede the part.
    pub context: Vec<AttemptId>,
    /// Target of the part.
    pub target: TargetId,
    /// Text of the piece.
    pub text: String,
    /// Workspace of the caller.
    pub workspace: String,
}
