//! Prefill and decode in time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use smol::Timer;

use crate::engine::core::Core;

/// A decode that is later than this, after a freeze, does not catch up.
const CATCH_UP: Duration = Duration::from_millis(200);

impl Core {
    /// Runs one prefill after the other; each runs to its end, which blocks those behind it.
    pub(super) async fn prefill(self: Arc<Self>) {
        loop {
            let listener = self.arrivals.listen();
            let next = self.lock().start_prefill();
            let Some((serial, cost)) = next else {
                listener.wait().await;
                continue;
            };
            self.compute(serial, Instant::now() + cost).await;
            self.gate.thaw().await;
            let decodes = self.lock().finish_prefill(serial);
            if decodes {
                smol::spawn(Arc::clone(&self).decode(serial)).detach();
            }
        }
    }

    /// Takes the time of a prefill; a stream that ends frees the engine at once.
    async fn compute(&self, serial: u64, end: Instant) {
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

    /// Generates tokens at the decode rate; the first one comes at the end of the prefill.
    async fn decode(self: Arc<Self>, serial: u64) {
        let interval = Duration::from_secs_f64(1.0 / self.settings.decode_rate);
        let mut due = Instant::now();
        loop {
            self.gate.thaw().await;
            if !self.lock().step(serial) {
                return;
            }
            let now = Instant::now();
            due += interval;
            if due + CATCH_UP < now {
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
