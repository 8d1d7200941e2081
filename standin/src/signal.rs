//! Notification of all waiting tasks at once.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Wakes all listeners on each notification.
#[derive(Debug)]
pub(crate) struct Signal {
    channel: Mutex<(Sender<()>, Receiver<()>)>,
}

/// Waits for the first notification after it was created.
#[derive(Debug)]
pub(crate) struct Listener {
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        Self {
            channel: Mutex::new(async_channel::bounded(1)),
        }
    }
}

impl Signal {
    /// Creates a listener. Do this before checking the state, or a notification in between is lost.
    pub(crate) fn listen(&self) -> Listener {
        let channel = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        Listener {
            receiver: channel.1.clone(),
        }
    }

    /// Number of listeners.
    pub(crate) fn waiting(&self) -> usize {
        let channel = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        channel.1.receiver_count() - 1
    }

    /// Wakes all listeners: replacing the channel drops its only sender, which closes it.
    pub(crate) fn notify(&self) {
        *self.channel.lock().unwrap_or_else(PoisonError::into_inner) = async_channel::bounded(1);
    }
}

impl Listener {
    /// Waits for a notification.
    pub(crate) async fn wait(self) {
        let _ = self.receiver.recv().await;
    }
}
