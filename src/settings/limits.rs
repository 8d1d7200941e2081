use std::time::Duration;

/// Limits on callers' input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest accepted body in bytes; a million tokens are about 4 MB.
    pub body: usize,
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Longest deadline that a caller may ask for.
    pub deadline_max: Duration,
    /// Bytes of the bodies of all requests that one instance serves at a time.
    pub memory: usize,
    /// Requests that one instance serves at a time.
    pub requests: usize,
    /// Most tokens that one request may generate.
    pub tokens: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            deadline: Duration::from_secs(30),
            deadline_max: Duration::from_secs(600),
            memory: 256 << 20,
            requests: 2048,
            tokens: 16_384,
        }
    }
}
