use super::{Domain, Kind, Service, Target, Workspace};

/// Contents of a record, in the form that both schema versions decode to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Body {
    /// State of a failure domain.
    Domain(Domain),
    /// Properties of a plain service.
    Service(Service),
    /// Properties of a target.
    Target(Target),
    /// Grants, limits and keys of a workspace.
    Workspace(Workspace),
}

impl Body {
    /// Kind of the record.
    pub fn kind(&self) -> Kind {
        match self {
            Body::Domain(_) => Kind::Domain,
            Body::Service(_) => Kind::Service,
            Body::Target(_) => Kind::Target,
            Body::Workspace(_) => Kind::Workspace,
        }
    }

    /// Name of the record.
    pub fn name(&self) -> &str {
        match self {
            Body::Domain(domain) => &domain.name,
            Body::Service(service) => &service.name,
            Body::Target(target) => &target.name,
            Body::Workspace(workspace) => &workspace.name,
        }
    }
}
