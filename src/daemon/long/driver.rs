use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use smol::{Task, Timer};

use super::REPEAT_PAUSE;
use crate::daemon::serve;
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::gang::{Action, Coordinator, Event, Part};
use crate::id::{AttemptId, Tokens, TOKEN_BYTES};
use crate::wire::{Hold, Segment};

/// Time between two looks at deadline and renewals.
const TICK: Duration = Duration::from_millis(100);

/// What the driver of one gang works with.
pub(super) struct Driver {
    pub(super) coordinator: Coordinator,
    pub(super) deadline: Duration,
    pub(super) events: (Sender<Event>, Receiver<Event>),
    /// Reason of the first failed step.
    pub(super) fault: Arc<Mutex<Option<Error>>>,
    pub(super) ids: Vec<AttemptId>,
    pub(super) model: String,
    pub(super) outcome: Sender<Result<(), Error>>,
    pub(super) parts: Vec<Part>,
    pub(super) prefill: Option<Task<()>>,
    pub(super) state: Arc<State>,
    pub(super) text: Arc<str>,
    pub(super) tickets: Arc<Mutex<Vec<String>>>,
    pub(super) workspace: String,
}

impl Driver {
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
        let fault = lock(&self.fault).take();
        let message = fault.as_ref().map_or("the gang ended", Error::message);
        event!(
            self.state.source,
            "gang_failed",
            kind = kind.name(),
            reason = message
        );
        let _ = self.outcome.try_send(Err(Error::new(kind, message)));
    }

    /// Takes a reservation; the answer comes as an event.
    fn hold(&self, part: usize) {
        let message = self.message(part, false);
        let (state, events) = (self.state.clone(), self.events.0.clone());
        let fault = self.fault.clone();
        smol::spawn(async move {
            let event = match serve::hold(&state, message).await {
                Ok(()) => Event::Held { part },
                Err(error) => {
                    let refused = error.kind() == Kind::Overloaded;
                    note(&fault, error);
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

    /// Renews a reservation; the answer comes as an event. While the target gets another owner it is asked for again,
    /// which takes the memory anew there, until the reservation lapses.
    fn renew(&self, part: usize) {
        let message = self.message(part, false);
        let (state, events) = (self.state.clone(), self.events.0.clone());
        let fault = self.fault.clone();
        let end = state.clock.now() + serve::HOLD_LIFETIME;
        smol::spawn(async move {
            loop {
                let error = match serve::hold(&state, message.clone()).await {
                    Ok(()) => break events.try_send(Event::Renewed { part }),
                    Err(error) => error,
                };
                let final_try = error.kind() == Kind::Overloaded || state.clock.now() >= end;
                if final_try || events.is_closed() {
                    note(&fault, error);
                    break events.try_send(Event::Failed { part });
                }
                Timer::after(REPEAT_PAUSE).await;
            }
        })
        .detach();
    }

    fn release(&mut self, part: usize) {
        self.prefill = None;
        let message = self.message(part, true);
        let state = self.state.clone();
        // A release that does not arrive is made up for by the expiry of the reservation.
        smol::spawn(async move {
            let _ = serve::hold(&state, message).await;
        })
        .detach();
    }

    fn start_prefill(&mut self, part: usize, from: Tokens, to: Tokens) {
        let first = self.first_token(part) == from;
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
        let (fault, tickets) = (self.fault.clone(), self.tickets.clone());
        let hold = self.message(part, false);
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
                    note(&fault, error);
                    Event::Failed { part }
                }
            };
            let _ = events.try_send(event);
        }));
    }

    /// First prompt token of a part's segment.
    fn first_token(&self, part: usize) -> Tokens {
        self.parts[..part].iter().map(|part| part.tokens).sum()
    }

    fn message(&self, part: usize, release: bool) -> Hold {
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

/// Prefills a piece. If the target gets another owner before a byte of it was written, the new owner gets the
/// reservation and then the piece.
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
        Timer::after(REPEAT_PAUSE).await;
        let _ = serve::hold(state, hold.clone()).await;
    }
}

fn note(fault: &Mutex<Option<Error>>, error: Error) {
    lock(fault).get_or_insert(error);
}
