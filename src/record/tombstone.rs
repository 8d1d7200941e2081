use serde::{Deserialize, Serialize};

use crate::id::Offset;

use super::Kind;

/// Maximum number of tombstones; the one with the oldest revision is dropped first.
pub const MAX_TOMBSTONES: usize = 4_096;

/// Revision of a deleted record. Without it, an entry with base 0 that is repeated after a lost reply would be accepted
/// again and undo the deletion.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tombstone {
    /// Kind of the deleted record.
    pub kind: Kind,
    /// Name of the deleted record.
    pub name: String,
    /// Offset of the deletion.
    pub revision: Offset,
}

impl Tombstone {
    /// Sort key of tombstones.
    pub(super) fn key(&self) -> (Kind, &str) {
        (self.kind, &self.name)
    }
}
