use serde::{Deserialize, Serialize};

use super::TargetGrant;
use crate::id::{Incarnation, InstanceId};

/// Answer to an [`Acquire`](super::Acquire) request; refused targets are left out.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
    /// The granting instance.
    pub from: InstanceId,
    /// Incarnation of the granting instance.
    pub incarnation: Incarnation,
    /// Acquire sequence of the granting instance, which orders the grant before its own later attempts.
    pub sequence: u64,
    /// The granted targets.
    pub targets: Vec<TargetGrant>,
    /// The requester.
    pub to: InstanceId,
    /// Incarnation of the requester.
    pub to_incarnation: Incarnation,
}
