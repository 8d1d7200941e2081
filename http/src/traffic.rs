use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of HTTP exchanges, with heads and chunk framing, without TCP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Counts bytes read.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes written.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes read since the last call.
    pub fn take_received(&self) -> u64 {
        self.received.swap(0, Ordering::Relaxed)
    }

    /// Returns the bytes written since the last call.
    pub fn take_sent(&self) -> u64 {
        self.sent.swap(0, Ordering::Relaxed)
    }
}
