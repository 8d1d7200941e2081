use std::time::Duration;

/// Limits of the calls to the log and the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest answer that is read, in bytes.
    pub answer_limit: usize,
    /// Largest entry that is appended, in bytes.
    pub entry_limit: usize,
    /// Time for one call; the wait of a long poll is added to it.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            answer_limit: 40 << 20,
            // A snapshot of the largest fold, which is limited to 16 MiB of records.
            entry_limit: 20 << 20,
            timeout: Duration::from_secs(2),
        }
    }
}
