use std::time::Duration;

/// Limits on callers' input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest accepted body in bytes; a million tokens are about 4 MB.
    pub body_bytes: usize,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Bytes of the bodies of all requests that one instance serves at a time.
    pub memory_bytes: usize,
    /// Requests that one instance serves at a time.
    pub requests: usize,
    /// Most tokens that one request may generate.
    pub max_tokens: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            default_deadline: Duration::from_secs(30),
            max_deadline: Duration::from_secs(600),
            memory_bytes: 256 << 20,
            requests: 2048,
            max_tokens: 16_384,
        }
    }
}
