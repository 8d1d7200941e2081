use std::path::PathBuf;

use serde::Deserialize;

use super::Level;

/// Destination and level of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// File to append lines to; standard error if absent.
    pub file: Option<PathBuf>,
    /// Lowest severity that is logged.
    pub level: Level,
}
