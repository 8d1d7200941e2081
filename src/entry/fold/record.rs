use serde::{Deserialize, Serialize};

use super::super::Position;
use crate::id::Offset;

/// Order of the values of a key that does not depend on the log; the higher value is the later one.
pub type Rank = (u64, u64);

/// A record of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Position in the log.
    pub position: Position,
    /// Order of the value, if its writer gave it one. A removal has that of the value that it removed.
    pub rank: Option<Rank>,
    /// Value; none if the record removes the key.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Whether this record of the current era takes the place of `carried`, a record of an earlier era. All records from
    /// the offset `first` on were written in the current era.
    pub(super) fn supersedes(&self, carried: &Record, first: Offset) -> bool {
        if self.value == carried.value {
            return true;
        }
        // The current era begins with a part of the earlier one, so a record that is not before `carried` is later.
        let is_later = self.position.offset >= carried.position.offset.min(first);
        match (self.rank, carried.rank) {
            (Some(own), Some(other)) if self.value.is_some() => match carried.value {
                Some(_) => own >= other,
                None => own > other || is_later,
            },
            _ => is_later,
        }
    }

    /// Whether this record of an earlier era is later than another one.
    pub(super) fn outlives(&self, other: &Record) -> bool {
        match (self.rank, other.rank) {
            (Some(own), Some(rank)) if own != rank => own > rank,
            _ => self.position > other.position,
        }
    }
}
