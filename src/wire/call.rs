use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId, TargetId, WorkspaceId};

/// A call to a plain service, sent to the target's owner or to the instance that keeps the call's claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// JSON body of the caller.
    pub body: String,
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Instances that the message has passed.
    pub hops: u8,
    /// Key of a call that may not be repeated.
    pub key: Option<String>,
    /// Path of the call.
    pub name: String,
    /// Request that this attempt belongs to.
    pub request: RequestId,
    /// Service to call.
    pub service: String,
    /// Target to run on; none while the claim is not decided.
    pub target: Option<TargetId>,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// JSON body.
    pub body: String,
    /// HTTP status.
    pub status: u16,
}
