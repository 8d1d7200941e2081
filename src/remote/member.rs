use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Role, State};
use crate::id::{DomainId, ModelId};

/// One row of the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: DomainId,
    /// Id of the instance or target.
    pub id: String,
    /// The model of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// What it is.
    pub role: Role,
    /// The name of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it stays.
    pub state: State,
}
