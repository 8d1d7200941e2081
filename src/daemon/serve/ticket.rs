use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_channel::Receiver;

use super::slot::{refused, Slot, Turn};
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::id::AttemptId;
use crate::remote::Engine;
use crate::target::{Dispatch, Request};

/// Times that a cancellation is sent to an engine that does not confirm it.
const CANCEL_TRIES: u32 = 2;

/// A place in a target's queue and then at the target.
///
/// Dropping it cancels the request. A place at an engine counts as taken until the engine has confirmed that, so that
/// a cold engine never gets more than its limit.
pub(super) struct Ticket {
    attempt: AttemptId,
    /// The engine that works on the request, if any.
    engine: Mutex<Option<SocketAddr>>,
    receiver: Receiver<Turn>,
    slot: Arc<Slot>,
    state: Arc<State>,
}

impl Ticket {
    pub(super) fn new(
        state: &Arc<State>,
        slot: &Arc<Slot>,
        request: Request,
    ) -> Result<Self, Error> {
        let attempt = request.id;
        let (sender, receiver) = async_channel::unbounded();
        slot.offer(state, request, sender)
            .map_err(|refusal| refused(slot.target(), refusal))?;
        Ok(Self {
            attempt,
            engine: Mutex::new(None),
            receiver,
            slot: slot.clone(),
            state: state.clone(),
        })
    }

    /// Waits for the next piece of work that may go out.
    pub(super) async fn turn(&self) -> Result<Dispatch, Error> {
        match self.receiver.recv().await {
            Ok(Turn::Dispatch(dispatch)) => Ok(dispatch),
            Ok(Turn::Expired) => Err(Error::new(
                Kind::DeadlineRefused,
                "the deadline passed in the queue",
            )),
            Ok(Turn::Moved) | Err(_) => {
                let target = self.slot.target();
                Err(Error::new(
                    Kind::Moved,
                    format!("`{target}` takes no new work here"),
                ))
            }
        }
    }

    /// Notes that the request is about to be written to the engine at `address`.
    pub(super) fn sent(&self, address: SocketAddr) {
        *lock(&self.engine) = Some(address);
    }

    /// Notes that the engine has nothing of the request any more.
    pub(super) fn returned(&self) {
        *lock(&self.engine) = None;
    }

    pub(super) fn finish_chunk(&self) {
        self.returned();
        self.slot.update(&self.state, |scheduler, now| {
            scheduler.finish_chunk(self.attempt, now)
        });
    }

    pub(super) fn first_token(&self) {
        self.slot.update(&self.state, |scheduler, now| {
            scheduler.record_first_token(self.attempt, now)
        });
    }

    pub(super) fn finish(&self, completed: bool) {
        self.returned();
        self.slot.update(&self.state, |scheduler, now| {
            scheduler.finish(self.attempt, completed, now)
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let Some(address) = lock(&self.engine).take() else {
            self.slot.abandon(&self.state, self.attempt);
            return;
        };
        let (state, slot, attempt) = (self.state.clone(), self.slot.clone(), self.attempt);
        smol::spawn(async move {
            let engine = Engine::new(&state.client, address);
            for _ in 0..CANCEL_TRIES {
                if engine.cancel(attempt).await.is_ok() {
                    break;
                }
            }
            // Whatever an unreachable engine still runs is counted as foreign load at its next reading.
            slot.abandon(&state, attempt);
        })
        .detach();
    }
}
