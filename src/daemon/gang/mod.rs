//! Prompts that need the memory of several engines: planning and coordination of the gang that holds them.

mod driver;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use smol::Timer;

use super::answer::Completion;
use super::state::{random_id, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::gang::{plan, Coordinator, Event, Offer, Part};
use crate::id::{tokens, AttemptId, TargetId, Tokens};
use crate::route::Candidate;
use driver::Driver;

/// Pause before the next plan after a gang has failed to start.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Engines that together hold the KV memory of a prompt. Dropping it releases the memory.
pub(super) struct Gang {
    events: Sender<Event>,
    failed: Receiver<Error>,
    parts: Vec<AttemptId>,
    target: TargetId,
}

impl Gang {
    /// Handles with the prompt, in order, which precede the tokens to generate.
    pub(super) fn context(&self) -> Vec<AttemptId> {
        self.parts.clone()
    }

    /// Waits until the gang fails while its last engine decodes; never returns otherwise.
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
        // The driver then releases everything and ends.
        let _ = self.events.try_send(Event::CallerLeft);
    }
}

/// Reserves memory on several engines for a long prompt and prefills it there. Waits for free memory until the
/// deadline.
pub(super) async fn prepare(
    state: &Arc<State>,
    completion: &Completion,
    max_tokens: Tokens,
    pool: impl Fn() -> Result<Vec<Candidate>, Error>,
) -> Result<Gang, Error> {
    let text: Arc<str> = completion.prompt.as_str().into();
    let prompt = tokens(text.len());
    loop {
        let candidates = pool()?;
        let possible = plan(
            prompt,
            max_tokens,
            &offers(&candidates, |candidate| capacity(state, candidate)),
        );
        if possible.is_none() {
            state.metrics.count_gang("refused");
            let message = "the prompt is too large for all engines of any one domain together";
            return Err(Error::new(Kind::TooLarge, message));
        }
        let error = match plan_parts(state, prompt, max_tokens, &candidates) {
            Some(parts) => match start(state, completion, &text, parts).await {
                Ok(gang) => return Ok(gang),
                Err(error) => error,
            },
            None => Error::new(
                Kind::Overloaded,
                "the engines do not have enough free memory",
            ),
        };
        let waits = matches!(
            error.kind(),
            Kind::Moved | Kind::Overloaded | Kind::Unavailable
        );
        let now = state.clock.now();
        if !waits || now + RETRY_PAUSE >= completion.deadline {
            state.metrics.count_gang("failed");
            return Err(error);
        }
        // Jitter keeps two gangs that compete for the same engines from colliding again.
        Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Plans the parts on engines with free memory, in the own domain if its engines suffice.
fn plan_parts(
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

/// Memory of an idle target that gangs may reserve.
fn capacity(state: &State, candidate: &Candidate) -> Tokens {
    let known = candidate.load.as_ref().map(|load| load.capacity);
    let capacity = known.map_or(candidate.memory, |known| known.min(candidate.memory));
    state.settings.queue.target().holdable(capacity)
}

/// Starts one gang and waits until it is ready to decode.
async fn start(
    state: &Arc<State>,
    completion: &Completion,
    text: &Arc<str>,
    parts: Vec<Part>,
) -> Result<Gang, Error> {
    let coordinator = Coordinator::new(parts, tokens(text.len()), completion.deadline);
    let parts = coordinator.parts().to_vec();
    let ids: Vec<AttemptId> = parts.iter().map(|_| random_id()).collect();
    let events = async_channel::unbounded();
    let (outcome, outcomes) = async_channel::unbounded();
    event!(
        state.source,
        "gang_started",
        request = hex(completion.request),
        parts = parts.len(),
        prompt_tokens = tokens(text.len())
    );
    let driver = Driver {
        coordinator,
        deadline: completion.deadline,
        events: events.clone(),
        failure: Arc::default(),
        ids: ids.clone(),
        model: completion.model.clone(),
        outcome,
        parts: parts.clone(),
        prefill: None,
        state: state.clone(),
        text: text.clone(),
        tickets: Arc::new(Mutex::new(vec![String::new(); parts.len()])),
        workspace: completion.workspace.clone(),
    };
    let (failures, failed) = async_channel::bounded(1);
    // From here on, if the caller disconnects, the gang is dropped and the driver releases everything.
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
                "the gang ended without a result",
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
