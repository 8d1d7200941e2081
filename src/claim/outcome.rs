use serde::{Deserialize, Serialize};

/// Largest body that is kept for repeats, in bytes; an outcome with a larger one is recorded as "outcome unknown".
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answer of a service to a call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The body.
    pub body: String,
    /// The HTTP status.
    pub status: u16,
}
