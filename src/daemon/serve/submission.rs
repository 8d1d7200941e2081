use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_channel::Receiver;

use super::queue::{refusal_error, Notice, Queue};
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::id::AttemptId;
use crate::remote::Engine;
use crate::target::{Dispatch, Request};

/// Times that a cancellation is sent to an engine that does not confirm it.
const CANCEL_ATTEMPTS: u32 = 2;

/// A request in a target's queue and then at the target.
///
/// Dropping it cancels the request. The request counts as running at an engine until the engine has confirmed the
/// cancellation, so that a cold engine never gets more than its limit.
pub(super) struct Submission {
    attempt: AttemptId,
    /// The engine that may have the request, if any.
    engine: Mutex<Option<SocketAddr>>,
    receiver: Receiver<Notice>,
    queue: Arc<Queue>,
    state: Arc<State>,
}

impl Submission {
    pub(super) fn new(
        state: &Arc<State>,
        queue: &Arc<Queue>,
        request: Request,
    ) -> Result<Self, Error> {
        let attempt = request.id;
        let (sender, receiver) = async_channel::unbounded();
        queue
            .offer(state, request, sender)
            .map_err(|refusal| refusal_error(queue.target(), refusal))?;
        Ok(Self {
            attempt,
            engine: Mutex::new(None),
            receiver,
            queue: queue.clone(),
            state: state.clone(),
        })
    }

    /// Waits until the next chunk may be sent to the target.
    pub(super) async fn next_dispatch(&self) -> Result<Dispatch, Error> {
        match self.receiver.recv().await {
            Ok(Notice::Dispatch(dispatch)) => Ok(dispatch),
            Ok(Notice::Expired) => Err(Error::new(
                Kind::DeadlineRefused,
                "the deadline passed in the queue",
            )),
            Ok(Notice::Moved) | Err(_) => {
                let target = self.queue.target();
                Err(Error::new(
                    Kind::Moved,
                    format!("this instance does not dispatch to `{target}`"),
                ))
            }
        }
    }

    /// Records that the request is about to be written to the engine at `address`.
    pub(super) fn set_engine(&self, address: SocketAddr) {
        *lock(&self.engine) = Some(address);
    }

    /// Records that the engine has nothing of the request any more.
    pub(super) fn clear_engine(&self) {
        *lock(&self.engine) = None;
    }

    pub(super) fn finish_chunk(&self) {
        self.clear_engine();
        self.queue.update(&self.state, |scheduler, now| {
            scheduler.finish_chunk(self.attempt, now)
        });
    }

    pub(super) fn first_token(&self) {
        self.queue.update(&self.state, |scheduler, now| {
            scheduler.record_first_token(self.attempt, now)
        });
    }

    pub(super) fn finish(&self, completed: bool) {
        self.clear_engine();
        self.queue.update(&self.state, |scheduler, now| {
            scheduler.finish(self.attempt, completed, now)
        });
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        let Some(address) = lock(&self.engine).take() else {
            self.queue.remove(&self.state, self.attempt);
            return;
        };
        let (state, queue, attempt) = (self.state.clone(), self.queue.clone(), self.attempt);
        smol::spawn(async move {
            let engine = Engine::new(&state.client, address);
            for _ in 0..CANCEL_ATTEMPTS {
                if engine.cancel(attempt).await.is_ok() {
                    break;
                }
            }
            // Whatever an unreachable engine still runs counts as foreign load once its streams are read.
            queue.remove(&state, attempt);
        })
        .detach();
    }
}
