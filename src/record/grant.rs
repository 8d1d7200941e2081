use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// Permission to use one model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Adapters that may be used, sorted; empty: all.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The model.
    pub model: ModelId,
    /// Versions that may be used, sorted; empty: all.
    #[serde(default)]
    pub versions: Vec<String>,
}

impl Grant {
    /// Whether the grant covers `adapter`. The model without an adapter is always covered.
    pub fn covers_adapter(&self, adapter: Option<&str>) -> bool {
        adapter.is_none_or(|adapter| {
            self.adapters.is_empty() || self.adapters.iter().any(|item| item == adapter)
        })
    }

    /// Whether the grant covers `version`. No version means any, which only a grant of all versions covers.
    pub fn covers_version(&self, version: Option<&str>) -> bool {
        self.versions.is_empty()
            || version.is_some_and(|version| self.versions.iter().any(|item| item == version))
    }
}
