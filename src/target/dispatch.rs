use crate::id::{AttemptId, Tokens};

/// Order to send a piece of a request to the engine: prefill of `[from, to)`, then decode if it is the last piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Leading tokens of the prompt that are predicted to be in the engine's prefix cache.
    pub cached: Tokens,
    /// First token of the piece; 0 starts the prefill, also after the engine lost what was done before.
    pub from: Tokens,
    /// Whether the piece ends the prompt and decode follows.
    pub last: bool,
    /// Engine priority; a higher number is more urgent, 0 with `slack` off.
    pub priority: i32,
    /// The request.
    pub request: AttemptId,
    /// End of the piece, exclusive.
    pub to: Tokens,
}
