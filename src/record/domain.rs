use crate::id::DomainId;

/// State of a failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Domain {
    /// Whether the domain takes new work.
    pub in_service: bool,
    /// Name of the domain.
    pub name: DomainId,
}
