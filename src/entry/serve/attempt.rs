use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_channel::Receiver;

use super::outcome::Outcome;
use crate::entry::platform::LocalBoxFuture;
use crate::entry::Target;

/// A send whose outcome is not known yet. Dropping it cancels the request at the target.
pub(super) struct Attempt {
    /// Closed when memory of the request has expired; no value is ever sent.
    pub(super) expiry: Receiver<Infallible>,
    /// Whether the target was counted as one at which the request may have run.
    pub(super) is_counted: bool,
    /// Whether the target has been silent for so long that another one is asked.
    pub(super) is_silent: bool,
    /// Number of this send of the request.
    pub(super) number: u32,
    pub(super) outcome: LocalBoxFuture<'static, Outcome>,
    /// Predicted time until the first event.
    pub(super) predicted: Duration,
    pub(super) started: Duration,
    pub(super) target: Rc<Target>,
}

/// The sends of a request whose outcomes are not known yet, in order of their start. All but the newest one are silent or
/// hedged, and counted.
#[derive(Default)]
pub(super) struct Attempts {
    list: Vec<Attempt>,
}

impl Attempts {
    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(super) fn push(&mut self, attempt: Attempt) {
        self.list.push(attempt);
    }

    /// The attempt whose target is not silent, if any.
    pub(super) fn fresh(&self) -> Option<&Attempt> {
        self.list.last().filter(|attempt| !attempt.is_silent)
    }

    /// Marks the target of the newest attempt as silent and counted; returns the attempt.
    pub(super) fn mark_silent(&mut self) -> Option<&Attempt> {
        let attempt = self.list.last_mut()?;
        attempt.is_silent = true;
        attempt.is_counted = true;
        Some(attempt)
    }

    /// Marks the newest attempt as counted.
    pub(super) fn mark_counted(&mut self) {
        if let Some(attempt) = self.list.last_mut() {
            attempt.is_counted = true;
        }
    }

    /// The first send of the request, if its outcome is not known.
    pub(super) fn first(&self) -> Option<&Attempt> {
        self.list.first().filter(|attempt| attempt.number == 1)
    }

    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Waits for the first attempt that ends and removes it; forever if there is none.
    pub(super) async fn ended(&mut self) -> (Attempt, Outcome) {
        poll_fn(|context| {
            for at in 0..self.list.len() {
                if let Poll::Ready(outcome) = self.list[at].outcome.as_mut().poll(context) {
                    return Poll::Ready((self.list.remove(at), outcome));
                }
            }
            Poll::Pending
        })
        .await
    }
}
