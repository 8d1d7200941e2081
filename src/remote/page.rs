use serde::Deserialize;

use super::Entry;
use crate::id::Offset;

/// Consecutive entries of a log stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Page {
    /// The entries in ascending order of their offsets; empty if none was appended during the wait.
    pub entries: Vec<Entry>,
    /// Lowest offset that the log still retains.
    pub first: Offset,
    /// Offset to read from next.
    pub next: Offset,
}

impl Page {
    /// Whether the offsets ascend from `from` on and `next` follows the last of them.
    pub(super) fn is_ordered(&self, from: Offset) -> bool {
        let mut expected = from;
        for entry in &self.entries {
            if entry.offset < expected {
                return false;
            }
            expected = entry.offset.saturating_add(1);
        }
        self.entries.is_empty() || self.next >= expected
    }
}
