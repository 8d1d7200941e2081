use std::sync::Arc;

use async_channel::Sender;

use crate::clock::Clock;
use crate::error::{Error, Kind};
use crate::id::AttemptId;
use crate::target::Load;
use crate::wire::{Body, Frame};

/// Sender of one attempt's frames, which it numbers.
pub(crate) struct Output {
    attempt: AttemptId,
    clock: Arc<Clock>,
    sender: Sender<Frame>,
    sequence: u64,
}

impl Output {
    pub(crate) fn new(attempt: AttemptId, clock: Arc<Clock>, sender: Sender<Frame>) -> Self {
        Self {
            attempt,
            clock,
            sender,
            sequence: 0,
        }
    }

    /// Sends one frame; fails if the receiver is gone.
    pub(crate) async fn send(&mut self, body: Body) -> Result<(), Error> {
        let frame = Frame {
            attempt: self.attempt,
            body,
            sequence: self.sequence,
            time: self.clock.tick(),
        };
        self.sequence += 1;
        self.sender
            .send(frame)
            .await
            .map_err(|_| Error::new(Kind::Cancelled, "the caller disconnected"))
    }

    /// Sends the last frame of a failed attempt.
    pub(crate) async fn fail(&mut self, error: &Error, load: Option<Load>) {
        let body = Body::Fail {
            failure: error.into(),
            load,
        };
        // If the receiver is gone, nobody needs the error.
        let _ = self.send(body).await;
    }
}
