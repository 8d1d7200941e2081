use serde::{Deserialize, Serialize};

/// What a member of the instance list is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// An instance of this system.
    #[serde(rename = "entry")]
    Instance,
    /// A plain service.
    Service,
}
