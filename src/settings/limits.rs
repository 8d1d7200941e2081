use std::time::Duration;

/// Limits on requests from callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes; a prompt of a million tokens takes about 4 MB.
    pub body_bytes: usize,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// Maximum deadline that a caller may request.
    pub max_deadline: Duration,
    /// Maximum total size of the bodies of all concurrent requests of an instance, in bytes.
    pub memory_bytes: usize,
    /// Maximum number of concurrent requests of an instance.
    pub requests: usize,
    /// Maximum number of tokens that one request may generate.
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
