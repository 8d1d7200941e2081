use super::{Domain, Kind, Service, Target, Workspace};

/// What a record says, in the internal form that both schema versions decode to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Body {
    /// State of a failure domain.
    Domain(Domain),
    /// Calls of a service.
    Service(Service),
    /// Properties of a target.
    Target(Target),
    /// Grants, limits and keys of a workspace.
    Workspace(Workspace),
}

impl Body {
    /// The kind of record that has this body.
    pub fn kind(&self) -> Kind {
        match self {
            Body::Domain(_) => Kind::Domain,
            Body::Service(_) => Kind::Service,
            Body::Target(_) => Kind::Target,
            Body::Workspace(_) => Kind::Workspace,
        }
    }

    /// The name in the record.
    pub fn name(&self) -> &str {
        match self {
            Body::Domain(domain) => &domain.name,
            Body::Service(service) => &service.name,
            Body::Target(target) => &target.name,
            Body::Workspace(workspace) => &workspace.name,
        }
    }
}
