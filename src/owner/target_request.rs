use serde::{Deserialize, Serialize};

use super::Release;
use crate::id::TargetId;

/// Request for the grant of one target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetRequest {
    /// Whether the asker owns the target already and only registers with a peer that came up later.
    pub owned: bool,
    /// Grants that the asker holds; they prove that an earlier holder has stopped.
    pub released: Vec<Release>,
    /// Acquire sequence of the asker; the grant repeats it.
    pub sequence: u64,
    /// The target.
    pub target: TargetId,
}
