use serde::{Deserialize, Serialize};

use super::TargetRequest;
use crate::id::{Incarnation, InstanceId};

/// Request for grants.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Acquire {
    /// The asking instance.
    pub from: InstanceId,
    /// Incarnation of the asking instance.
    pub incarnation: Incarnation,
    /// What is asked for, one entry per target.
    pub targets: Vec<TargetRequest>,
}
