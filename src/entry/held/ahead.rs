use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::Stream;

use super::{Held, HeldBytes, Kind};
use crate::entry::platform::Failure;

/// Bytes of a stream that are read ahead of its caller.
const MAX_UNREAD_BYTES: usize = 64 << 10;

/// Complete events, or the failure that ends them.
type Events = Pin<Box<dyn Stream<Item = Result<Bytes, Failure>>>>;

/// A stream that is read ahead of its caller. Dropping it cancels the stream.
///
/// It has no task of its own: the caller's task polls [`read`](ReadAhead::read) after it has tried to write to the
/// caller, and only a stream that the caller's connection does not read then is read ahead. Events are neither queued
/// nor counted while the caller reads fast.
pub struct ReadAhead {
    bytes: HeldBytes,
    /// None after the end, so that what the stream used is free before its caller has read it.
    events: Option<Events>,
    held: Rc<Held>,
    /// Whether the caller waits for the next event in this pass of its task.
    is_awaited: bool,
    queue: VecDeque<Result<Bytes, Failure>>,
}

impl ReadAhead {
    /// Reads `events` ahead as far as `held` allows.
    pub fn new(
        events: impl Stream<Item = Result<Bytes, Failure>> + 'static,
        held: Rc<Held>,
    ) -> ReadAhead {
        ReadAhead {
            bytes: held.count(Kind::Unread),
            events: Some(Box::pin(events)),
            held,
            is_awaited: false,
            queue: VecDeque::new(),
        }
    }

    /// The next events for the caller, in the order in which they arrived; a failure follows all events before it.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        if let Some(events) = self.queue.pop_front() {
            self.bytes.remove(length(&events));
            return Poll::Ready(Some(events));
        }
        let next = self.poll_events(context);
        self.is_awaited = next.is_pending();
        next
    }

    /// Reads ahead until no event is ready or a limit is reached, unless the caller is waiting.
    pub fn read(&mut self, context: &mut Context<'_>) {
        if std::mem::take(&mut self.is_awaited) {
            return;
        }
        while self.bytes.bytes() < MAX_UNREAD_BYTES && self.held.has_room() {
            let Poll::Ready(Some(events)) = self.poll_events(context) else {
                return;
            };
            self.bytes.add(length(&events));
            self.queue.push_back(events);
        }
    }

    fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        let Some(events) = &mut self.events else {
            return Poll::Ready(None);
        };
        let next = events.as_mut().poll_next(context);
        if matches!(next, Poll::Ready(None | Some(Err(_)))) {
            self.events = None;
        }
        next
    }
}

fn length(events: &Result<Bytes, Failure>) -> usize {
    events.as_ref().map_or(0, Bytes::len)
}
