use serde::{Deserialize, Serialize};

use super::Release;
use crate::id::TargetId;

/// Request for the grant of one target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Request {
    /// Whether the requester owns the target already and only registers with a peer that has started later.
    pub owned: bool,
    /// Grants that the requester holds; they prove that earlier owners have stopped.
    pub released: Vec<Release>,
    /// Acquire sequence of the requester, which the grant repeats.
    pub sequence: u64,
    /// The target.
    pub target: TargetId,
}
