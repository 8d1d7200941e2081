use serde::Serialize;

use crate::id::Offset;

use super::Kind;

/// Verdicts kept, one for each of the latest offsets.
pub const MAX_VERDICTS: usize = 1_024;

/// Longest reason in bytes, so that the verdicts kept stay small whatever operators publish.
const MAX_REASON_BYTES: usize = 512;

/// What became of an entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The entry is in force.
    Accepted {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: String,
        /// The record's new revision, which is the offset of the entry.
        revision: Offset,
    },
    /// The entry has no effect.
    Rejected {
        /// What is wrong with it.
        reason: String,
    },
}

impl Verdict {
    /// Makes a rejection; a long reason is cut.
    pub(super) fn rejected(mut reason: String) -> Verdict {
        if reason.len() > MAX_REASON_BYTES {
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            reason.push_str("...");
        }
        Verdict::Rejected { reason }
    }
}
