use crate::id::{DomainId, TargetId, Tokens};

/// A target that may take part in a gang.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Offer {
    /// Domain of the target.
    pub domain: DomainId,
    /// Memory that a gang may hold.
    pub free: Tokens,
    /// The target.
    pub target: TargetId,
}
