use serde::Serialize;

use crate::id::Offset;

use super::Kind;

/// Maximum number of verdicts kept; the oldest is dropped first.
pub const MAX_VERDICTS: usize = 1_024;

/// Maximum length of a reason in bytes; bounds the memory for verdicts whatever operators publish.
const MAX_REASON_BYTES: usize = 512;

/// Result of applying an entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The entry took effect.
    Accepted {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: String,
        /// The record's new revision, which is the offset of the entry.
        revision: Offset,
    },
    /// The entry had no effect.
    Rejected {
        /// Why the entry was rejected.
        reason: String,
    },
}

impl Verdict {
    /// Creates a rejection; a long reason is truncated.
    pub(super) fn rejected(mut reason: String) -> Verdict {
        if reason.len() > MAX_REASON_BYTES {
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            reason.push_str("...");
        }
        Verdict::Rejected { reason }
    }
}
