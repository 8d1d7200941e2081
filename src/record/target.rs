use crate::id::{TargetId, Tokens};
use crate::order::ModelSpec;

/// Properties of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Whether the target rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// Requests that the target tolerates in a cold start, if known.
    pub cold_limit: Option<u32>,
    /// Whether the target is leaving and gets no new work.
    pub leaving: bool,
    /// What the controller orders the target to load, if anything.
    pub load: Option<ModelSpec>,
    /// Memory in tokens, if known.
    pub memory: Option<Tokens>,
    /// Name of the target.
    pub name: TargetId,
}
