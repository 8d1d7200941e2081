//! Wake-up of all waiting tasks at once.

use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

/// Wakes every listener on each notification.
#[derive(Debug)]
pub(crate) struct Signal {
    ends: Mutex<(Sender<()>, Receiver<()>)>,
}

/// Resolves with the first notification after it was made.
#[derive(Debug)]
pub(crate) struct Listener {
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        Self {
            ends: Mutex::new(async_channel::bounded(1)),
        }
    }
}

impl Signal {
    /// Registers interest. Do it before the state is checked, otherwise a notification in between is lost.
    pub(crate) fn listen(&self) -> Listener {
        let ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        Listener {
            receiver: ends.1.clone(),
        }
    }

    /// Number of tasks that wait.
    pub(crate) fn waiting(&self) -> usize {
        let ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        ends.1.receiver_count() - 1
    }

    /// Wakes all listeners: replacing the channel drops its only sender.
    pub(crate) fn notify(&self) {
        *self.ends.lock().unwrap_or_else(PoisonError::into_inner) = async_channel::bounded(1);
    }
}

impl Listener {
    /// Waits for the notification.
    pub(crate) async fn wait(self) {
        let _ = self.receiver.recv().await;
    }
}
