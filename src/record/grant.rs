use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// Permission of a workspace to use one model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Permitted adapters, sorted; if empty, all are permitted.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The model.
    pub model: ModelId,
    /// Permitted versions, sorted; if empty, all are permitted.
    #[serde(default)]
    pub versions: Vec<String>,
}

impl Grant {
    /// Whether the grant covers `adapter`; using no adapter is always covered.
    pub fn covers_adapter(&self, adapter: Option<&str>) -> bool {
        adapter.is_none_or(|adapter| {
            self.adapters.is_empty() || self.adapters.iter().any(|item| item == adapter)
        })
    }

    /// Whether the grant covers `version`. `None` stands for any version, so it takes a grant of all versions.
    pub fn covers_version(&self, version: Option<&str>) -> bool {
        self.versions.is_empty()
            || version.is_some_and(|version| self.versions.iter().any(|item| item == version))
    }
}
