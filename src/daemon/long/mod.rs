//! Prompts that need several engines, on the side of the coordinator.

mod driver;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use smol::Timer;

use super::answer::Question;
use super::state::{unguessable, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::gang::{plan, Coordinator, Event, Offer, Part};
use crate::id::{tokens, AttemptId, TargetId, Tokens};
use crate::route::Candidate;
use driver::Driver;

/// Pause before a gang that found no free memory is planned again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Engines that hold a prompt together. Dropping it releases them.
pub(super) struct Gang {
    events: Sender<Event>,
    failed: Receiver<Error>,
    parts: Vec<AttemptId>,
    target: TargetId,
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
        let _ = self.events.try_send(Event::CallerLeft);
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
            state.metrics.count_gang("refused");
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
            state.metrics.count_gang("failed");
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
