use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use smol::{Task, Timer};

use super::RETRY_PAUSE;
use crate::daemon::serve;
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::gang::{Action, Coordinator, Event, Part};
use crate::id::{AttemptId, Tokens, TOKEN_BYTES};
use crate::wire::{Hold, Segment};

/// Time between two checks of the deadline and the renewals.
const TICK: Duration = Duration::from_millis(100);

/// Runs one gang: carries out the actions of its coordinator and feeds the results back as events.
pub(super) struct Driver {
    pub(super) coordinator: Coordinator,
    pub(super) deadline: Duration,
    pub(super) events: (Sender<Event>, Receiver<Event>),
    /// Error of the first action that failed.
    pub(super) failure: Arc<Mutex<Option<Error>>>,
    /// Ids of the parts, in order.
    pub(super) ids: Vec<AttemptId>,
    pub(super) model: String,
    /// `Ok` once decode may start, an error once the gang has failed.
    pub(super) outcome: Sender<Result<(), Error>>,
    pub(super) parts: Vec<Part>,
    pub(super) prefill: Option<Task<()>>,
    pub(super) state: Arc<State>,
    pub(super) text: Arc<str>,
    /// Tickets of the exported handles, by part; empty until the part has been prefilled.
    pub(super) tickets: Arc<Mutex<Vec<String>>>,
    pub(super) workspace: String,
}

impl Driver {
    /// Runs the gang until everything has been released.
    pub(super) async fn run(mut self) {
        let now = self.state.clock.now();
        let mut actions = self.coordinator.start(now);
        loop {
            for action in actions {
                self.act(action);
            }
            if self.coordinator.is_ended() {
                return;
            }
            let event = future::or(async { self.events.1.recv().await.ok() }, async {
                Timer::after(TICK).await;
                None
            })
            .await;
            let now = self.state.clock.now();
            actions = match event {
                Some(event) => self.coordinator.handle(event, now),
                None => Vec::new(),
            };
            actions.extend(self.coordinator.tick(now));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Decode => {
                let _ = self.outcome.try_send(Ok(()));
            }
            Action::Fail { kind } => self.fail(kind),
            Action::Hold { part } => self.hold(part),
            Action::Prefill { part, from, to } => self.start_prefill(part, from, to),
            Action::Release { part } => self.release(part),
            Action::Renew { part } => self.renew(part),
        }
    }

    fn fail(&mut self, kind: Kind) {
        self.prefill = None;
        let failure = lock(&self.failure).take();
        let message = failure.as_ref().map_or("the gang ended", Error::message);
        event!(
            self.state.source,
            "gang_failed",
            kind = kind.name(),
            reason = message
        );
        let _ = self.outcome.try_send(Err(Error::new(kind, message)));
    }

    /// Requests a reservation; the answer arrives as an event.
    fn hold(&self, part: usize) {
        let message = self.hold_message(part, false);
        let (state, events) = (self.state.clone(), self.events.0.clone());
        let failure = self.failure.clone();
        smol::spawn(async move {
            let event = match serve::hold(&state, message).await {
                Ok(()) => Event::Held { part },
                Err(error) => {
                    let refused = error.kind() == Kind::Overloaded;
                    record_failure(&failure, error);
                    if refused {
                        Event::Refused { part }
                    } else {
                        Event::Failed { part }
                    }
                }
            };
            let _ = events.try_send(event);
        })
        .detach();
    }

    /// Renews a reservation; the answer arrives as an event. A renewal that fails while the target changes its owner is
    /// retried until the new owner has made the reservation anew, at most until the reservation would expire.
    fn renew(&self, part: usize) {
        let message = self.hold_message(part, false);
        let (state, events) = (self.state.clone(), self.events.0.clone());
        let failure = self.failure.clone();
        let end = state.clock.now() + serve::HOLD_LIFETIME;
        smol::spawn(async move {
            loop {
                let error = match serve::hold(&state, message.clone()).await {
                    Ok(()) => break events.try_send(Event::Renewed { part }),
                    Err(error) => error,
                };
                let is_final = error.kind() == Kind::Overloaded || state.clock.now() >= end;
                if is_final || events.is_closed() {
                    record_failure(&failure, error);
                    break events.try_send(Event::Failed { part });
                }
                Timer::after(RETRY_PAUSE).await;
            }
        })
        .detach();
    }

    fn release(&mut self, part: usize) {
        self.prefill = None;
        let message = self.hold_message(part, true);
        let state = self.state.clone();
        // If the release does not arrive, the reservation expires.
        smol::spawn(async move {
            let _ = serve::hold(&state, message).await;
        })
        .detach();
    }

    fn start_prefill(&mut self, part: usize, from: Tokens, to: Tokens) {
        let first = self.segment_start(part) == from;
        let tickets = lock(&self.tickets)[..part].to_vec();
        let start = serve::boundary(&self.text, from as usize * TOKEN_BYTES);
        let end = serve::boundary(&self.text, to as usize * TOKEN_BYTES);
        let left = self.deadline.saturating_sub(self.state.clock.now());
        let segment = Segment {
            context: self.ids[..part].to_vec(),
            deadline_ms: left.as_millis() as u64,
            extend: !first,
            hops: 0,
            imports: if first { tickets } else { Vec::new() },
            model: self.model.clone(),
            part: self.ids[part],
            target: self.parts[part].target.clone(),
            text: self.text[start..end].to_owned(),
            workspace: self.workspace.clone(),
        };
        let (state, events) = (self.state.clone(), self.events.0.clone());
        let (failure, tickets) = (self.failure.clone(), self.tickets.clone());
        let hold = self.hold_message(part, false);
        self.prefill = Some(smol::spawn(async move {
            let event = match prefill(&state, segment, hold).await {
                Ok(ticket) => {
                    lock(&tickets)[part] = ticket;
                    Event::Prefilled {
                        part,
                        tokens: to - from,
                    }
                }
                Err(error) => {
                    record_failure(&failure, error);
                    Event::Failed { part }
                }
            };
            let _ = events.try_send(event);
        }));
    }

    /// Index of the first prompt token of a part.
    fn segment_start(&self, part: usize) -> Tokens {
        self.parts[..part].iter().map(|part| part.tokens).sum()
    }

    fn hold_message(&self, part: usize, release: bool) -> Hold {
        Hold {
            context: self.ids[..part].to_vec(),
            hops: 0,
            part: self.ids[part],
            release,
            target: self.parts[part].target.clone(),
            tokens: self.parts[part].tokens,
        }
    }
}

/// Prefills a segment. If the target changes its owner before a byte was written to the engine, the new owner gets the
/// reservation and then the segment.
async fn prefill(state: &Arc<State>, segment: Segment, hold: Hold) -> Result<String, Error> {
    let end = state.clock.now() + serve::HOLD_LIFETIME;
    loop {
        let error = match serve::segment(state, segment.clone()).await {
            Ok(ticket) => return Ok(ticket),
            Err(error) => error,
        };
        if error.kind() != Kind::Moved || state.clock.now() >= end {
            return Err(error);
        }
        Timer::after(RETRY_PAUSE).await;
        let _ = serve::hold(state, hold.clone()).await;
    }
}

/// Keeps an error unless there is one already.
fn record_failure(failure: &Mutex<Option<Error>>, error: Error) {
    lock(failure).get_or_insert(error);
}
