use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind};
use crate::id::{Incarnation, InstanceId};

use super::Outcome;

/// Entry on a log stream: a claim, or its result.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance that claims the key.
    pub claimer: InstanceId,
    /// Time up to which the claimer may dispatch, in Unix milliseconds.
    pub expiry: u64,
    /// Incarnation of the claimer.
    pub incarnation: Incarnation,
    /// The scoped key.
    pub key: String,
    /// Distinguishes this attempt from others of the same claimer.
    pub nonce: u64,
    /// State of the attempt.
    pub note: Note,
}

/// State of an attempt, as noted in an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The attempt claims the key.
    Claim,
    /// The attempt was run and has this outcome.
    Outcome(Outcome),
    /// The attempt may have been run, but its outcome is not known or too large to keep.
    Unknown,
    /// No byte of the attempt was or will be sent to the service; the next claim in log order may run.
    Unsent,
}

/// Decodes the body of one log entry, which holds the entries of one group commit in order.
///
/// # Errors
/// `BadRequest` if the body has another format, for example that of a newer build.
pub fn decode(body: &str) -> Result<Vec<Entry>, Error> {
    serde_json::from_str(body)
        .map_err(|error| Error::new(Kind::BadRequest, format!("bad claim entry: {error}")))
}

/// Encodes entries as the body of one log entry.
pub fn encode(entries: &[Entry]) -> String {
    serde_json::json!(entries).to_string()
}
