use std::time::Duration;

/// Limits for calls to the log and the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest accepted response in bytes.
    pub answer_limit: usize,
    /// Largest entry to append in bytes.
    pub entry_limit: usize,
    /// Time limit for one call; the wait of a long poll is added to it.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            answer_limit: 40 << 20,
            // Holds a snapshot of the largest fold, whose records are limited to 16 MiB.
            entry_limit: 20 << 20,
            timeout: Duration::from_secs(2),
        }
    }
}
