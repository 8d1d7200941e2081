use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error;

/// Kind of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A failure domain.
    Domain,
    /// A plain service.
    Service,
    /// A target.
    Target,
    /// A workspace.
    Workspace,
}

impl Kind {
    /// All kinds, in alphabetical order.
    pub const ALL: &'static [Kind] = &[Kind::Domain, Kind::Service, Kind::Target, Kind::Workspace];

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.iter().copied().find(|kind| kind.name() == name)
    }

    /// Name of the kind in entries.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Domain => "domain",
            Kind::Service => "service",
            Kind::Target => "target",
            Kind::Workspace => "workspace",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = error::Error;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Kind::from_name(name).ok_or_else(|| {
            error::Error::new(
                error::Kind::BadRequest,
                format!("unknown record kind `{name}`"),
            )
        })
    }
}
