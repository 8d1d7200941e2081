use super::ModelSpec;
use crate::id::TargetId;

/// What a target should have loaded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Plan {
    /// Whether the target rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// The wish.
    pub load: ModelSpec,
    /// The target.
    pub target: TargetId,
}
