use std::path::PathBuf;

use serde::Deserialize;

use super::Level;

/// Where and what to log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// File that lines are appended to; standard error if absent.
    pub file: Option<PathBuf>,
    /// Lowest severity that is logged.
    pub level: Level,
}
