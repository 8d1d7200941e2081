use serde::{Deserialize, Serialize};

/// State of a member of the instance list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is about to leave and gets no new work.
    Leaving,
    /// It is in use.
    Live,
}
