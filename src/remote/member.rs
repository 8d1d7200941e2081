use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Role, State};
use crate::id::{DomainId, ModelId};

/// An instance or target, as in the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its id.
    pub id: String,
    /// Model of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// Its kind.
    pub role: Role,
    /// Name of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it is in use or about to leave.
    pub state: State,
}
