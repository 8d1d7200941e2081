use std::time::Duration;

/// What the peers of a server may take of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections that are open at a time; further ones wait in the accept queue.
    pub connections: usize,
    /// Longest time without progress while a message is read or written, and in all to discard an unread body.
    pub stall: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            stall: Duration::from_secs(30),
        }
    }
}
