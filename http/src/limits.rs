use std::time::Duration;

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections that may be open at a time; further ones wait in the accept queue.
    pub connections: usize,
    /// Longest time without progress while a message is read or written, and longest total time to discard a body that
    /// the handler has not read.
    pub stall_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            stall_timeout: Duration::from_secs(30),
        }
    }
}
