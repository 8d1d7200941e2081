use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// Model that a target has loaded or is to load.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model.
    pub model: ModelId,
    /// Role of the engine; `None` in an order means any role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Version of the weights.
    pub version: String,
}

impl Model {
    /// Whether `loaded` satisfies an order to load this model.
    pub(super) fn is_met_by(&self, loaded: &Model) -> bool {
        self.has_same_weights(loaded) && (self.role.is_none() || self.role == loaded.role)
    }

    pub(super) fn has_same_weights(&self, other: &Model) -> bool {
        self.model == other.model && self.version == other.version
    }
}
