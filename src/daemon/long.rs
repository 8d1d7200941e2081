use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use smol::{Task, Timer};

use super::answer::Question;
use super::serve;
use super::state::{lock, unguessable, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::gang::{plan, Action, Coordinator, Event, Offer, Part};
use crate::id::{tokens, AttemptId, TargetId, Tokens, TOKEN_BYTES};
use crate::route::Candidate;
use crate::wire::{Hold, Segment};

/// Time between two looks at deadline and renewals.
const TICK: Duration = Duration::from_millis(100);

/// Pause before a gang that found no free memory is planned again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Engines that hold a prompt together. Dropping it releases them.
pub(super) struct Gang {
    events: Sender<Event>,
    failed: Receiver<Error>,
    parts: Vec<AttemptId>,
    target: TargetId,
}

/// What the driver of one gang works with.
struct Driver {
    coordinator: Coordinator,
    deadline: Duration,
    events: (Sender<Event>, Receiver<Event>),
    /// Reason of the first failed step.
    fault: Arc<Mutex<Option<Error>>>,
    ids: Vec<AttemptId>,
    model: String,
    outcome: Sender<Result<(), Error>>,
    parts: Vec<Part>,
    prefill: Option<Task<()>>,
    state: Arc<State>,
    text: Arc<str>,
    tickets: Arc<Mutex<Vec<String>>>,
    workspace: String,
}

impl Gang {
    /// Handles that precede the tokens to generate, in order.
    pub(super) fn context(&self) -> Vec<AttemptId> {
        self.parts.clone()
    }

    /// Waits for a failure of the reservation while the last engine decodes.
    pub(super) async fn failed(&self) -> Error {
        match self.failed.recv().await {
            Ok(error) => error,
            Err(_) => future::pending().await,
        }
    }

    /// The target that decodes.
    pub(super) fn target(&self) -> &TargetId {
        &self.target
    }
}

impl Drop for Gang {
    fn drop(&mut self) {
        // The driver releases everything and ends.
        let _ = self.events.try_send(Event::Left);
    }
}

/// Reserves engines for a long prompt and prefills it, waiting for free memory until the deadline.
pub(super) async fn prepare(
    state: &Arc<State>,
    question: &Question,
    max_tokens: Tokens,
    pool: impl Fn() -> Result<Vec<Candidate>, Error>,
) -> Result<Gang, Error> {
    let text: Arc<str> = question.prompt.as_str().into();
    let prompt = tokens(text.len());
    loop {
        let candidates = pool()?;
        let possible = plan(
            prompt,
            max_tokens,
            &offers(&candidates, |one| capacity(state, one)),
        );
        if possible.is_none() {
            state.metrics.gang("refused");
            let message = "the prompt is larger than all engines of a domain together";
            return Err(Error::new(Kind::TooLarge, message));
        }
        let error = match parts(state, prompt, max_tokens, &candidates) {
            Some(parts) => match form(state, question, &text, parts).await {
                Ok(gang) => return Ok(gang),
                Err(error) => error,
            },
            None => Error::new(Kind::Overloaded, "no engines have enough free memory"),
        };
        let waits = matches!(
            error.kind(),
            Kind::Moved | Kind::Overloaded | Kind::Unavailable
        );
        let now = state.clock.now();
        if !waits || now + REPEAT_PAUSE >= question.deadline {
            state.metrics.gang("failed");
            return Err(error);
        }
        // A random part keeps two gangs that compete for the same engines apart.
        Timer::after(REPEAT_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Engines with free memory, in the own domain if that suffices.
fn parts(
    state: &State,
    prompt: Tokens,
    max_tokens: Tokens,
    candidates: &[Candidate],
) -> Option<Vec<Part>> {
    let free = |candidate: &Candidate| match &candidate.load {
        Some(load) => load.holdable.min(capacity(state, candidate)),
        None => capacity(state, candidate),
    };
    let all = offers(candidates, free);
    let own: Vec<Offer> = all
        .iter()
        .filter(|offer| offer.domain == state.settings.domain)
        .cloned()
        .collect();
    plan(prompt, max_tokens, &own).or_else(|| plan(prompt, max_tokens, &all))
}

fn offers(candidates: &[Candidate], free: impl Fn(&Candidate) -> Tokens) -> Vec<Offer> {
    candidates
        .iter()
        .filter(|candidate| !candidate.ejected)
        .map(|candidate| Offer {
            domain: candidate.domain.clone(),
            free: free(candidate),
            target: candidate.target.clone(),
        })
        .collect()
}

/// Memory that gangs may have of an empty target.
fn capacity(state: &State, candidate: &Candidate) -> Tokens {
    let known = candidate.load.as_ref().map(|load| load.capacity);
    let capacity = known.map_or(candidate.memory, |known| known.min(candidate.memory));
    state.settings.queue.target().holdable(capacity)
}

/// Runs one gang up to its decode.
async fn form(
    state: &Arc<State>,
    question: &Question,
    text: &Arc<str>,
    parts: Vec<Part>,
) -> Result<Gang, Error> {
    let coordinator = Coordinator::new(parts, tokens(text.len()), question.deadline);
    let parts = coordinator.parts().to_vec();
    let ids: Vec<AttemptId> = parts.iter().map(|_| unguessable()).collect();
    let events = async_channel::unbounded();
    let (outcome, outcomes) = async_channel::unbounded();
    event!(
        state.source,
        "gang_started",
        request = hex(question.request),
        parts = parts.len(),
        prompt_tokens = tokens(text.len())
    );
    let driver = Driver {
        coordinator,
        deadline: question.deadline,
        events: events.clone(),
        fault: Arc::default(),
        ids: ids.clone(),
        model: question.model.clone(),
        outcome,
        parts: parts.clone(),
        prefill: None,
        state: state.clone(),
        text: text.clone(),
        tickets: Arc::new(Mutex::new(vec![String::new(); parts.len()])),
        workspace: question.workspace.clone(),
    };
    let (failures, failed) = async_channel::bounded(1);
    // From here on a caller that leaves drops the gang, which makes the driver release everything.
    let gang = Gang {
        events: events.0,
        failed,
        parts: ids,
        target: parts
            .last()
            .map(|part| part.target.clone())
            .unwrap_or_default(),
    };
    smol::spawn(driver.run()).detach();
    match outcomes.recv().await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return Err(error),
        Err(_) => {
            return Err(Error::new(
                Kind::Internal,
                "the gang ended without an outcome",
            ))
        }
    }
    smol::spawn(async move {
        if let Ok(Err(error)) = outcomes.recv().await {
            let _ = failures.send(error).await;
        }
    })
    .detach();
    Ok(gang)
}

impl Driver {
    async fn run(mut self) {
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
        self.prefill = Some(smol::spawn(async move {
            let event = match serve::segment(&state, segment).await {
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

fn note(fault: &Mutex<Option<Error>>, error: Error) {
    lock(fault).get_or_insert(error);
}
