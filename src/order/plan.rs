use super::Model;
use crate::id::TargetId;

/// What a target is to have loaded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Plan {
    /// Whether the target rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// The model to load.
    pub load: Model,
    /// The target.
    pub target: TargetId,
}
