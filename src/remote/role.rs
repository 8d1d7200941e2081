use serde::{Deserialize, Serialize};

/// Kind of a member of the instance list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// A `jujubehookd` instance.
    #[serde(rename = "entry")]
    Instance,
    /// A plain service.
    Service,
}
