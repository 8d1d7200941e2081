//! Timing of prefill and decode.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use smol::Timer;

use crate::engine::core::Core;

/// Longest delay that decoding catches up on by generating faster; after a longer one, as after a freeze, it goes on at
/// its usual rate.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(200);

impl Core {
    /// Runs one prefill after the other. Each runs to its end and blocks those behind it.
    pub(super) async fn run_prefills(self: Arc<Self>) {
        loop {
            let listener = self.arrivals.listen();
            let next = self.lock().start_prefill();
            let Some((serial, duration)) = next else {
                listener.wait().await;
                continue;
            };
            self.wait_prefill(serial, Instant::now() + duration).await;
            self.gate.wait_unfrozen().await;
            let has_tokens = self.lock().finish_prefill(serial);
            if has_tokens {
                smol::spawn(Arc::clone(&self).decode(serial)).detach();
            }
        }
    }

    /// Waits until the end of a prefill, or until its stream was cancelled or lost.
    async fn wait_prefill(&self, serial: u64, end: Instant) {
        while Instant::now() < end {
            let Some(signal) = self.signal(serial) else {
                return;
            };
            let listener = signal.listen();
            if self.lock().position(serial).is_none() {
                return;
            }
            future::or(listener.wait(), async {
                Timer::at(end).await;
            })
            .await;
        }
    }

    /// Generates tokens at the decode rate, the first one at the end of the prefill.
    async fn decode(self: Arc<Self>, serial: u64) {
        let interval = Duration::from_secs_f64(1.0 / self.settings.decode_rate);
        let mut due = Instant::now();
        loop {
            self.gate.wait_unfrozen().await;
            if !self.lock().generate_token(serial) {
                return;
            }
            let now = Instant::now();
            due += interval;
            if due + CATCH_UP_LIMIT < now {
                due = now;
            }
            Timer::at(due).await;
        }
    }

    fn signal(&self, serial: u64) -> Option<Arc<crate::signal::Signal>> {
        let state = self.lock();
        let index = state.position(serial)?;
        Some(Arc::clone(&state.streams[index].signal))
    }
}
