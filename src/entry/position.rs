use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{Era, Offset};

/// Place in a topic of the log. A position of a later era is higher, whatever its offset.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    // The derived order compares the fields in this order.
    /// History of the log to which the offset belongs.
    pub era: Era,
    /// Offset in that history.
    pub offset: Offset,
}

impl Position {
    /// The position at an offset in an era.
    pub const fn new(era: Era, offset: Offset) -> Position {
        Position { era, offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
