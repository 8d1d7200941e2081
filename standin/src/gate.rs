//! Faults that concern every reply: slow, frozen, lost, and outages.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use jujubehook_http::http_types::Response;
use jujubehook_http::Peer;
use smol::Timer;

use crate::fault::Fault;

/// An outage that was ordered by `POST /fault` starts this much later, so that the reply to the order gets out.
const REPLY_TIME: Duration = Duration::from_millis(10);

/// Cuts all connections and refuses new ones for some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) delay: Duration,
    pub(crate) length: Duration,
}

/// Common fault state of a stand-in.
#[derive(Debug)]
pub(crate) struct Gate {
    outages: Sender<Outage>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    drop_reply: u64,
    frozen: Option<Instant>,
    slow: Duration,
}

impl Gate {
    /// A gate without faults, and the outages that it will ask for.
    pub(crate) fn new() -> (Self, Receiver<Outage>) {
        let (outages, receiver) = async_channel::unbounded();
        let state = Mutex::default();
        (Self { outages, state }, receiver)
    }

    /// Sets the common switches except for outages.
    pub(crate) fn apply(&self, fault: &Fault) {
        let mut state = self.lock();
        if let Some(count) = fault.drop_reply {
            state.drop_reply = count;
        }
        if let Some(ms) = fault.freeze_ms {
            state.frozen = Instant::now().checked_add(Duration::from_millis(ms));
        }
        if let Some(ms) = fault.slow_ms {
            state.slow = Duration::from_millis(ms);
        }
    }

    /// Starts an outage at once.
    pub(crate) fn cut(&self, length: Duration) {
        self.start(Outage {
            delay: Duration::ZERO,
            length,
        });
    }

    /// Starts an outage as soon as the reply to its order is out.
    pub(crate) fn cut_after_reply(&self, length: Duration) {
        self.start(Outage {
            delay: REPLY_TIME,
            length,
        });
    }

    /// Delays a reply, or withholds it until the caller gives up. `effect` says that the request changed something;
    /// only such replies are lost.
    pub(crate) async fn leave(&self, response: Response, peer: &Peer, effect: bool) -> Response {
        let (slow, lost) = self.reply(effect && response.status().is_success());
        if !slow.is_zero() {
            Timer::after(slow).await;
        }
        self.thaw().await;
        if lost {
            peer.closed().await;
        }
        response
    }

    /// Whether a freeze goes on.
    pub(crate) fn is_frozen(&self) -> bool {
        self.lock().frozen.is_some_and(|end| end > Instant::now())
    }

    /// Waits for the end of a freeze.
    pub(crate) async fn thaw(&self) {
        loop {
            let frozen = self.lock().frozen;
            match frozen {
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

    /// The freeze keeps requests that come before the connections are cut from having an effect; it outlasts the
    /// cut even if the outage has no length.
    fn start(&self, outage: Outage) {
        let mut state = self.lock();
        let end = Instant::now().checked_add(outage.delay + outage.length + REPLY_TIME);
        state.frozen = state.frozen.max(end);
        let _ = self.outages.try_send(outage);
    }

    fn reply(&self, effect: bool) -> (Duration, bool) {
        let mut state = self.lock();
        let lost = effect && state.drop_reply > 0;
        if lost {
            state.drop_reply -= 1;
        }
        (state.slow, lost)
    }
}
