//! Faults that every stand-in can inject: slow, frozen and lost responses, and outages.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use jujubehook_http::http_types::Response;
use jujubehook_http::Peer;
use smol::Timer;

use crate::fault::Fault;

/// Delay of an outage that `POST /fault` asks for, so that its response is sent first.
const RESPONSE_TIME: Duration = Duration::from_millis(10);

/// A time in which all connections are closed and new ones are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    /// Time from the request of the outage to its start.
    pub(crate) delay: Duration,
    pub(crate) length: Duration,
}

/// Injected faults that requests and responses of a stand-in pass through.
#[derive(Debug)]
pub(crate) struct Gate {
    outages: Sender<Outage>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of responses that are still to be lost.
    drop_reply: u64,
    frozen_until: Option<Instant>,
    /// Delay of each response.
    slow: Duration,
}

impl Gate {
    /// A gate without faults, and the channel on which it requests outages.
    pub(crate) fn new() -> (Self, Receiver<Outage>) {
        let (outages, receiver) = async_channel::unbounded();
        let state = Mutex::default();
        (Self { outages, state }, receiver)
    }

    /// Applies the common switches, except for outages.
    pub(crate) fn apply(&self, fault: &Fault) {
        let mut state = self.lock();
        if let Some(count) = fault.drop_reply {
            state.drop_reply = count;
        }
        if let Some(ms) = fault.freeze_ms {
            state.frozen_until = Instant::now().checked_add(Duration::from_millis(ms));
        }
        if let Some(ms) = fault.slow_ms {
            state.slow = Duration::from_millis(ms);
        }
    }

    /// Starts an outage at once.
    pub(crate) fn start_outage(&self, length: Duration) {
        self.request_outage(Outage {
            delay: Duration::ZERO,
            length,
        });
    }

    /// Starts an outage after a delay in which the response to the current request is sent.
    pub(crate) fn start_outage_after_response(&self, length: Duration) {
        self.request_outage(Outage {
            delay: RESPONSE_TIME,
            length,
        });
    }

    /// Applies the faults to a response: delays it, or withholds it until the caller disconnects. Only a successful
    /// response to a request that changed something (`effect`) is withheld.
    pub(crate) async fn release(&self, response: Response, peer: &Peer, effect: bool) -> Response {
        let (slow, lost) = self.next_faults(effect && response.status().is_success());
        if !slow.is_zero() {
            Timer::after(slow).await;
        }
        self.wait_unfrozen().await;
        if lost {
            peer.closed().await;
        }
        response
    }

    /// Whether the stand-in is frozen.
    pub(crate) fn is_frozen(&self) -> bool {
        self.lock()
            .frozen_until
            .is_some_and(|end| end > Instant::now())
    }

    /// Waits until the stand-in is not frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        loop {
            let frozen_until = self.lock().frozen_until;
            match frozen_until {
                Some(end) if end > Instant::now() => {
                    Timer::at(end).await;
                }
                Some(_) | None => return,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Freezes the stand-in, so that requests that arrive before the connections are closed have no effect, and
    /// requests the outage. The freeze outlasts the closing of the connections even if the length of the outage is
    /// zero.
    fn request_outage(&self, outage: Outage) {
        let mut state = self.lock();
        let end = Instant::now().checked_add(outage.delay + outage.length + RESPONSE_TIME);
        state.frozen_until = state.frozen_until.max(end);
        let _ = self.outages.try_send(outage);
    }

    /// The delay of the next response, and whether it is lost.
    fn next_faults(&self, effect: bool) -> (Duration, bool) {
        let mut state = self.lock();
        let lost = effect && state.drop_reply > 0;
        if lost {
            state.drop_reply -= 1;
        }
        (state.slow, lost)
    }
}
