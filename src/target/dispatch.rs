use crate::id::{AttemptId, Tokens};

/// Instruction to send one chunk of a request to the engine: prefill of `[from, to)`, then decode if it is the last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Leading tokens of the prompt that are predicted to be in the engine's prefix cache.
    pub cached: Tokens,
    /// First token of the chunk; 0 starts the prefill, also a second time if the engine has restarted since.
    pub from: Tokens,
    /// Whether the chunk ends the prompt, so that decode follows.
    pub last: bool,
    /// Priority sent to the engine; a higher number is more urgent. 0 without `slack`.
    pub priority: i32,
    /// The request.
    pub request: AttemptId,
    /// End of the chunk, exclusive.
    pub to: Tokens,
}
