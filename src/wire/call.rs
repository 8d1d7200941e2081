use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId, TargetId, WorkspaceId};

/// A call to a plain service, sent to the target's owner or to the instance that decides the claim of the call's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// JSON body from the caller.
    pub body: String,
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Times that the message has been forwarded.
    pub hops: u8,
    /// Idempotency key of an at-most-once call.
    pub key: Option<String>,
    /// Name of the call, the last part of its path.
    pub name: String,
    /// Request that this attempt belongs to.
    pub request: RequestId,
    /// Service to call.
    pub service: String,
    /// Target to run on; none until the claim is decided.
    pub target: Option<TargetId>,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
}

/// Response of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// JSON body.
    pub body: String,
    /// HTTP status.
    pub status: u16,
}
