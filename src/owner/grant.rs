use serde::{Deserialize, Serialize};

use super::TargetGrant;
use crate::id::{Incarnation, InstanceId};

/// Answer to a request for grants; targets that are refused are absent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
    /// The granting instance.
    pub from: InstanceId,
    /// Incarnation of the granting instance.
    pub incarnation: Incarnation,
    /// Acquire sequence of the granting instance, which orders the grant against its own later attempts.
    pub sequence: u64,
    /// What is granted.
    pub targets: Vec<TargetGrant>,
    /// The asker.
    pub to: InstanceId,
    /// Incarnation of the asker that the grant is for.
    pub to_incarnation: Incarnation,
}
