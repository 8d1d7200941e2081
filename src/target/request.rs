use std::time::Duration;

use crate::id::{AttemptId, Tokens, WorkspaceId};

/// A request offered to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Time by which the request must finish, since process start.
    pub deadline: Duration,
    /// Whether a gang hold already reserves the memory, as for a chunk of a gang's part.
    pub held: bool,
    /// Id of the attempt.
    pub id: AttemptId,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Hashes of the leading blocks of the prompt, in order; each covers [`super::Settings::block`] tokens.
    pub prefix: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Weight of the workspace; 0 counts as 1.
    pub weight: u32,
    /// The workspace.
    pub workspace: WorkspaceId,
}

impl Request {
    /// Memory that the request takes until it ends; 0 if a hold already reserves it.
    pub fn memory(&self) -> Tokens {
        if self.held {
            return 0;
        }
        self.prompt.saturating_add(self.max_tokens)
    }
}
