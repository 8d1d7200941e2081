use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, ModelId, RequestId, TargetId, Tokens, WorkspaceId};

/// One attempt to run a completion on a target, sent to the target's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Adapter to apply, if any.
    pub adapter: Option<String>,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Handles on the target that precede the prompt; not empty only for the last part of a gang.
    pub context: Vec<AttemptId>,
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Instances that the message has passed.
    pub hops: u8,
    /// Tokens to generate.
    pub max_tokens: Tokens,
    /// Model to use.
    pub model: ModelId,
    /// Hashes of the leading prompt blocks.
    pub prefix: Vec<u64>,
    /// Prompt text, followed by the tokens that the caller already has.
    pub prompt: String,
    /// Request that this attempt belongs to.
    pub request: RequestId,
    /// Tokens that the caller already has; the first new token has this index.
    pub start: u64,
    /// Target to run on.
    pub target: TargetId,
    /// Share weight of the workspace.
    pub weight: u32,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
}
