//! Schema 2, the nested form: related values are grouped in objects.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::id::Tokens;
use crate::order::Model;

use super::object::{object, objects};
use super::{Body, Grant};

/// `{"service":{"in":bool}}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Domain {
    #[serde(deserialize_with = "object")]
    service: InService,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InService {
    r#in: bool,
}

/// `{"calls":[{"name":call,"once":bool}]}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Service {
    #[serde(deserialize_with = "objects")]
    calls: Vec<Call>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Call {
    name: String,
    once: bool,
}

/// `{"leaving"?,"limits"?:{"cold"?,"memory"?},"orders"?:{"checks_fencing"?,"load"?:{"model","version","role"?}}}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    #[serde(default)]
    leaving: bool,
    #[serde(default, deserialize_with = "object")]
    limits: TargetLimits,
    #[serde(default, deserialize_with = "object")]
    orders: Orders,
}

#[derive(Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct TargetLimits {
    #[serde(skip_serializing_if = "Option::is_none")]
    cold: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    memory: Option<Tokens>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Orders {
    #[serde(default)]
    checks_fencing: bool,
    load: Option<Model>,
}

/// `{"grants":[{"model","adapters"?,"versions"?}],"keys":[..],"limits"?:{"max_prompt"?,"weight"?}}`
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workspace {
    #[serde(deserialize_with = "objects")]
    grants: Vec<Grant>,
    keys: Vec<String>,
    #[serde(default, deserialize_with = "object")]
    limits: WorkspaceLimits,
}

#[derive(Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceLimits {
    #[serde(skip_serializing_if = "Option::is_none")]
    max_prompt: Option<Tokens>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight: Option<u32>,
}

impl Domain {
    pub(super) fn body(self, name: String) -> Body {
        Body::Domain(super::Domain {
            in_service: self.service.r#in,
            name,
        })
    }
}

impl Service {
    pub(super) fn body(self, name: String) -> Body {
        let mut at_most_once = self
            .calls
            .into_iter()
            .filter(|call| call.once)
            .map(|call| call.name)
            .collect::<Vec<_>>();
        at_most_once.sort();
        Body::Service(super::Service { at_most_once, name })
    }
}

impl Target {
    pub(super) fn body(self, name: String) -> Body {
        Body::Target(super::Target {
            checks_fencing: self.orders.checks_fencing,
            cold_limit: self.limits.cold,
            leaving: self.leaving,
            load: self.orders.load,
            memory: self.limits.memory,
            name,
        })
    }
}

impl Workspace {
    pub(super) fn body(self, name: String) -> Body {
        super::workspace::body(
            name,
            self.grants,
            self.keys,
            self.limits.max_prompt,
            self.limits.weight,
        )
    }
}

/// Encodes `body` in schema 2.
pub(super) fn encode(body: &Body) -> Value {
    match body {
        Body::Domain(domain) => json!({"service": {"in": domain.in_service}}),
        Body::Service(service) => {
            let calls = service
                .at_most_once
                .iter()
                .map(|call| json!({"name": call, "once": true}))
                .collect::<Vec<_>>();
            json!({ "calls": calls })
        }
        Body::Target(target) => json!({
            "leaving": target.leaving,
            "limits": TargetLimits { cold: target.cold_limit, memory: target.memory },
            "orders": orders(target),
        }),
        Body::Workspace(workspace) => json!({
            "grants": workspace.grants,
            "keys": workspace.keys,
            "limits": WorkspaceLimits { max_prompt: workspace.max_prompt, weight: Some(workspace.weight) },
        }),
    }
}

fn orders(target: &super::Target) -> Value {
    let mut orders = json!({"checks_fencing": target.checks_fencing});
    if let Some(load) = &target.load {
        orders["load"] = json!(load);
    }
    orders
}
