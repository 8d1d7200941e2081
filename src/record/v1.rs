//! Schema 1, the flat form: every value is a member of the body.

use serde::Deserialize;

use crate::id::Tokens;

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

/// `{"checks_fencing"?,"cold_limit"?,"leaving"?,"memory"?}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    #[serde(default)]
    checks_fencing: bool,
    cold_limit: Option<u32>,
    #[serde(default)]
    leaving: bool,
    memory: Option<Tokens>,
}

/// `{"models":[..],"adapters"?:[..],"versions"?:[..],"keys":[..],"max_prompt"?,"weight"?}`; adapters and versions hold
/// for each of the models.
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
            name,
            once: self.once,
        })
    }
}

impl Target {
    pub(super) fn body(self, name: String) -> Body {
        let Target {
            checks_fencing,
            cold_limit,
            leaving,
            memory,
        } = self;
        Body::Target(super::Target {
            checks_fencing,
            cold_limit,
            leaving,
            memory,
            name,
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
