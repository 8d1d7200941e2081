//! Schema 1, the flat form: all values are direct members of the body.

use serde::Deserialize;

use crate::id::{ModelId, Tokens};
use crate::order::Model;

use super::{Body, Grant};

/// `{"in_service":bool}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Domain {
    in_service: bool,
}

/// `{"once":[call]}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Service {
    once: Vec<String>,
}

/// `{"checks_fencing"?,"cold_limit"?,"leaving"?,"memory"?,"model"?,"role"?,"version"?}`; `model` and `version` must be
/// given together, and `role` needs both.
#[derive(Deserialize)]
#[serde(try_from = "FlatTarget")]
pub(super) struct Target {
    checks_fencing: bool,
    cold_limit: Option<u32>,
    leaving: bool,
    load: Option<Model>,
    memory: Option<Tokens>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FlatTarget {
    #[serde(default)]
    checks_fencing: bool,
    cold_limit: Option<u32>,
    #[serde(default)]
    leaving: bool,
    memory: Option<Tokens>,
    model: Option<ModelId>,
    role: Option<String>,
    version: Option<String>,
}

/// `{"models":[..],"adapters"?:[..],"versions"?:[..],"keys":[..],"max_prompt"?,"weight"?}`; adapters and versions
/// apply to each of the models.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workspace {
    #[serde(default)]
    adapters: Vec<String>,
    keys: Vec<String>,
    max_prompt: Option<Tokens>,
    models: Vec<String>,
    #[serde(default)]
    versions: Vec<String>,
    weight: Option<u32>,
}

impl Domain {
    pub(super) fn body(self, name: String) -> Body {
        Body::Domain(super::Domain {
            in_service: self.in_service,
            name,
        })
    }
}

impl Service {
    pub(super) fn body(mut self, name: String) -> Body {
        self.once.sort();
        Body::Service(super::Service {
            at_most_once: self.once,
            name,
        })
    }
}

impl Target {
    pub(super) fn body(self, name: String) -> Body {
        Body::Target(super::Target {
            checks_fencing: self.checks_fencing,
            cold_limit: self.cold_limit,
            leaving: self.leaving,
            load: self.load,
            memory: self.memory,
            name,
        })
    }
}

impl TryFrom<FlatTarget> for Target {
    type Error = &'static str;

    fn try_from(flat: FlatTarget) -> Result<Self, Self::Error> {
        let load = match (flat.model, flat.version, flat.role) {
            (Some(model), Some(version), role) => Some(Model {
                model,
                role,
                version,
            }),
            (None, None, None) => None,
            _ => return Err("`model` and `version` go together, `role` needs them"),
        };
        Ok(Self {
            checks_fencing: flat.checks_fencing,
            cold_limit: flat.cold_limit,
            leaving: flat.leaving,
            load,
            memory: flat.memory,
        })
    }
}

impl Workspace {
    pub(super) fn body(self, name: String) -> Body {
        let grant = |model| Grant {
            adapters: self.adapters.clone(),
            model,
            versions: self.versions.clone(),
        };
        let grants = self.models.into_iter().map(grant).collect();
        super::workspace::body(name, grants, self.keys, self.max_prompt, self.weight)
    }
}
