use serde::{Deserialize, Serialize};

use crate::id::TargetId;

/// Grant of one target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetGrant {
    /// Requests that the granting instance has in flight at the target.
    pub in_flight: u32,
    /// Whether the granting instance owned the target until this grant.
    pub owned: bool,
    /// Acquire sequence of the request.
    pub sequence: u64,
    /// The target.
    pub target: TargetId,
}
