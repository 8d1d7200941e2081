use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, ModelId, RequestId, TargetId, Tokens, WorkspaceId};

/// One attempt to run a completion on a target, sent to the target's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Adapter to apply, if any.
    pub adapter: Option<String>,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Handles on the target that precede the prompt; empty except for the last part of a gang.
    pub context: Vec<AttemptId>,
    /// Time left until the deadline in milliseconds.
    pub deadline_ms: u64,
    /// Times that the message has been forwarded.
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
    /// Number of tokens that the caller already has, which is the index of the first new token.
    pub start: u64,
    /// Target to run on.
    pub target: TargetId,
    /// Weight of the workspace in fair sharing.
    pub weight: u32,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
}
