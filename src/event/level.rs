use serde::Deserialize;
use tracing_subscriber::filter::LevelFilter;

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Everything.
    Debug,
    /// Errors of the process only.
    Error,
    /// Each step of a request and each change of state.
    #[default]
    Info,
    /// Alarms and errors.
    Warn,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Debug => LevelFilter::DEBUG,
            Level::Error => LevelFilter::ERROR,
            Level::Info => LevelFilter::INFO,
            Level::Warn => LevelFilter::WARN,
        }
    }
}
