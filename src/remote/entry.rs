use serde::Deserialize;

use crate::id::Offset;

/// One entry of a log stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Text of the entry, one JSON value.
    pub body: String,
    /// Position in the stream, from 1.
    pub offset: Offset,
}
