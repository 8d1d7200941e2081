use serde::{Deserialize, Serialize};

/// Whether a member of the instance list stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is about to leave.
    Leaving,
    /// It is in use.
    Live,
}
