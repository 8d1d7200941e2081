use crate::id::{TargetId, Tokens};
use crate::order::Model;

/// Properties of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Whether the target rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Maximum number of concurrent requests while the target is cold, if known.
    pub cold_limit: Option<u32>,
    /// Whether the target is being removed and gets no new work.
    pub leaving: bool,
    /// Model that the controller orders the target to load, if any.
    pub load: Option<Model>,
    /// Memory in tokens, if known.
    pub memory: Option<Tokens>,
    /// Name of the target.
    pub name: TargetId,
}
