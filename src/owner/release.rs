use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId};

/// Proof that an instance granted a target, and so does not own it under this or an earlier sequence of its own.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Release {
    /// The instance that granted.
    pub from: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its acquire sequence at the time of the grant.
    pub sequence: u64,
}
