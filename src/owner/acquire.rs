use serde::{Deserialize, Serialize};

use super::Request;
use crate::id::{Incarnation, InstanceId};

/// Request to a peer for grants of targets.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Acquire {
    /// The requesting instance.
    pub from: InstanceId,
    /// Incarnation of the requesting instance.
    pub incarnation: Incarnation,
    /// The requested targets.
    pub targets: Vec<Request>,
}
