use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId};

/// Proof that an instance has granted a target, and so does not own it under this or an earlier acquire sequence.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Release {
    /// The granting instance.
    pub from: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its acquire sequence at the time of the grant.
    pub sequence: u64,
}
