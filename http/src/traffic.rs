use std::sync::atomic::{AtomicU64, Ordering};

/// Byte counters of HTTP exchanges: heads and chunk framing count, TCP and IP headers do not.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Adds bytes read.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes written.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes read since the last call, and resets the counter.
    pub fn take_received(&self) -> u64 {
        self.received.swap(0, Ordering::Relaxed)
    }

    /// Returns the bytes written since the last call, and resets the counter.
    pub fn take_sent(&self) -> u64 {
        self.sent.swap(0, Ordering::Relaxed)
    }
}
