use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::Timer;

use super::candidates::candidates;
use super::frames::Frames;
use super::gang;
use super::state::{lock, random_id, State};
use crate::error::{Error, Executed, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{tokens, AttemptId, ModelId, RequestId, TargetId, Tokens, WorkspaceId};
use crate::route::{Candidate, Requirements};
use crate::target::Class;
use crate::wire::{Body, Run};

/// Attempts for one request, not counting those that found the target moved; no target is likely to take it after them.
const ATTEMPT_LIMIT: u32 = 64;

/// Pause before targets that failed are tried again, for example until a target has a new owner; it doubles each time.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest of these pauses.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Targets that refuse the deadline before the refusal goes to the caller.
const DEADLINE_REFUSALS: u32 = 3;

/// Time on top of the deadline in which the target's owner can still report that the deadline passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    pub(crate) adapter: Option<String>,
    /// Time on this process's monotonic clock by which the answer must be complete.
    pub(crate) deadline: Duration,
    pub(crate) max_tokens: Tokens,
    pub(crate) model: ModelId,
    pub(crate) prefix: Vec<u64>,
    pub(crate) prompt: String,
    pub(crate) request: RequestId,
    pub(crate) weight: u32,
    pub(crate) workspace: WorkspaceId,
}

/// One element of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Element {
    End { cached: Tokens, count: u64 },
    Token { text: String },
}

/// An answer in progress. If its target fails, it continues on another one. Dropping it cancels the request.
pub(crate) struct Answer {
    attempts: u32,
    frames: Option<Frames>,
    gang: Option<gang::Gang>,
    pause: Duration,
    completion: Completion,
    /// Whether an attempt may have reached a target.
    reached: bool,
    refusals: u32,
    /// Tokens that the caller has.
    sent: u64,
    /// Tokens that the caller had when the current attempt started.
    start: u64,
    state: Arc<State>,
    target: TargetId,
    /// Targets that failed since the last pause, sorted.
    tried: Vec<TargetId>,
}

impl Completion {
    pub(crate) fn class(&self) -> Class {
        Class::of(tokens(self.prompt.len()))
    }
}

impl Answer {
    pub(crate) fn new(state: &Arc<State>, completion: Completion) -> Self {
        lock(&state.budget).record_attempt();
        Self {
            attempts: 0,
            frames: None,
            gang: None,
            pause: RETRY_PAUSE,
            completion,
            reached: false,
            refusals: 0,
            sent: 0,
            start: 0,
            state: state.clone(),
            target: TargetId::new(),
            tried: Vec::new(),
        }
    }

    /// Waits for the next element, or for the final error.
    pub(crate) async fn next(&mut self) -> Result<Element, Error> {
        let now = self.state.clock.now();
        let left = self.completion.deadline.saturating_sub(now) + DEADLINE_GRACE;
        let outcome = future::or(self.next_element(), async {
            Timer::after(left).await;
            Err(Error::new(
                Kind::DeadlineExceeded,
                "the deadline passed before the answer was complete",
            ))
        })
        .await;
        if self.reached {
            return outcome.map_err(Error::after_attempt);
        }
        outcome
    }

    async fn next_element(&mut self) -> Result<Element, Error> {
        loop {
            let outcome = match self.frames.take() {
                None => Box::pin(self.start_attempt()).await,
                Some(mut frames) => {
                    let body = match &self.gang {
                        None => frames.next(&self.state).await,
                        Some(gang) => {
                            let failure = async { Err(gang.failed().await) };
                            future::or(frames.next(&self.state), failure).await
                        }
                    };
                    self.frames = Some(frames);
                    body.map(Some)
                }
            };
            match outcome {
                Ok(None) => {}
                Ok(Some(body)) => {
                    if let Some(element) = self.handle(body).await? {
                        return Ok(element);
                    }
                }
                Err(error) => self.prepare_retry(error).await?,
            }
        }
    }

    /// Handles a frame; returns the element that it has for the caller, if any.
    async fn handle(&mut self, body: Body) -> Result<Option<Element>, Error> {
        let now = self.state.clock.now();
        match body {
            Body::End {
                cached,
                count,
                load,
                target,
            } => {
                lock(&self.state.loads).set(&target, load, now);
                if self.start.checked_add(count) != Some(self.sent) {
                    let message = "the number of tokens received differs from the target's count";
                    self.prepare_retry(Error::new(Kind::UpstreamFailed, message))
                        .await?;
                    return Ok(None);
                }
                if self.gang.take().is_some() {
                    self.state.metrics.count_gang("finished");
                }
                let count = self.sent;
                Ok(Some(Element::End { cached, count }))
            }
            Body::Fail { failure, load } => {
                if let Some(load) = load {
                    lock(&self.state.loads).set(&self.target, load, now);
                }
                self.prepare_retry(failure.into()).await?;
                Ok(None)
            }
            Body::Start { load } => {
                self.reached = true;
                lock(&self.state.loads).set(&self.target, load, now);
                Ok(None)
            }
            Body::Token { text, .. } => {
                self.reached = true;
                self.sent += 1;
                // The next attempt continues after the tokens that the caller has.
                self.completion.prompt.push_str(&text);
                Ok(Some(Element::Token { text }))
            }
        }
    }

    /// Prepares another attempt after a failed one; returns the error if there must not be another.
    async fn prepare_retry(&mut self, error: Error) -> Result<(), Error> {
        self.frames = None;
        self.gang = None;
        let kind = error.kind();
        self.reached |= kind.executed() == Executed::Unknown;
        let retriable = kind.retriable() || matches!(kind, Kind::UpstreamFailed | Kind::Stalled);
        if !retriable {
            return Err(error);
        }
        // A moved target did no work for the request, so only the deadline limits these attempts.
        if kind != Kind::Moved {
            self.attempts += 1;
        }
        if self.attempts >= ATTEMPT_LIMIT {
            return Err(error);
        }
        if kind == Kind::DeadlineRefused {
            self.refusals += 1;
            if self.refusals >= DEADLINE_REFUSALS {
                return Err(error);
            }
        }
        if kind != Kind::Moved && !lock(&self.state.budget).try_spend() {
            return Err(error);
        }
        self.state.metrics.count_retry();
        event!(
            self.state.source,
            "retry",
            request = hex(self.completion.request),
            target = self.target.as_str(),
            kind = kind.name(),
            sent = self.sent
        );
        if let Err(index) = self.tried.binary_search(&self.target) {
            self.tried.insert(index, self.target.clone());
        }
        Ok(())
    }

    /// Starts the next attempt, or pauses if all targets that can hold the request have been tried. Returns the final
    /// frame if the caller already has every token.
    async fn start_attempt(&mut self) -> Result<Option<Body>, Error> {
        if self.sent >= self.completion.max_tokens {
            // Only the final frame of the last attempt was lost.
            let (cached, count) = (0, self.sent - self.start);
            let target = self.target.clone();
            let load = self.state.queue(&target).load(self.state.clock.now());
            return Ok(Some(Body::End {
                cached,
                count,
                load,
                target,
            }));
        }
        self.start = self.sent;
        let requirements = self.requirements();
        let pool = candidates(&self.state, self.completion.class(), &self.completion.model)?;
        let now = self.state.clock.now();
        let chosen = lock(&self.state.policy).choose(&requirements, &pool, now);
        let attempt = random_id();
        if let Some(index) = chosen {
            self.target = pool[index].target.clone();
            let rate = self.state.settings.queue.prefill_rate.max(1);
            let prefill = Duration::from_secs_f64(requirements.prompt as f64 / rate as f64);
            lock(&self.state.loads).add_request(&self.target, requirements.prompt, prefill);
            let run = self.run(attempt, Vec::new());
            self.frames = Some(Frames::open(&self.state, run).await?);
            return Ok(None);
        }
        if pool
            .iter()
            .any(|candidate| fits(candidate, requirements.prompt + requirements.max_tokens))
        {
            self.pause_attempts().await?;
            return Ok(None);
        }
        self.start_gang(attempt).await?;
        Ok(None)
    }

    async fn start_gang(&mut self, attempt: AttemptId) -> Result<(), Error> {
        let left = self.completion.max_tokens - self.sent;
        let pool = || candidates(&self.state, self.completion.class(), &self.completion.model);
        let gang = gang::prepare(&self.state, &self.completion, left, pool).await?;
        self.reached = true;
        self.target = gang.target().clone();
        let mut run = self.run(attempt, gang.context());
        // The whole prompt is in the handles of the gang.
        run.prompt = String::new();
        self.gang = Some(gang);
        self.frames = Some(Frames::open(&self.state, run).await?);
        Ok(())
    }

    /// Pauses, then lets targets that failed be tried again.
    async fn pause_attempts(&mut self) -> Result<(), Error> {
        if self.state.clock.now() + self.pause >= self.completion.deadline {
            let kind = match self.refusals {
                0 => Kind::Unavailable,
                _ => Kind::DeadlineRefused,
            };
            let message = "no target could take the request before its deadline";
            return Err(Error::new(kind, message));
        }
        self.tried.clear();
        Timer::after(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_PAUSE_MAX);
        Ok(())
    }

    fn requirements(&self) -> Requirements {
        Requirements {
            class: self.completion.class(),
            domain: self.state.settings.domain.clone(),
            max_tokens: self.completion.max_tokens,
            prefix: self.completion.prefix.clone(),
            prompt: tokens(self.completion.prompt.len()),
            tried: self.tried.clone(),
        }
    }

    fn run(&self, attempt: AttemptId, context: Vec<AttemptId>) -> Run {
        let now = self.state.clock.now();
        let left = self.completion.deadline.saturating_sub(now);
        Run {
            adapter: self.completion.adapter.clone(),
            attempt,
            context,
            deadline_ms: left.as_millis() as u64,
            hops: 0,
            max_tokens: self.completion.max_tokens - self.sent,
            model: self.completion.model.clone(),
            prefix: self.completion.prefix.clone(),
            prompt: self.completion.prompt.clone(),
            request: self.completion.request,
            start: self.sent,
            target: self.target.clone(),
            weight: self.completion.weight,
            workspace: self.completion.workspace.clone(),
        }
    }
}

/// Whether the engine alone has enough memory for a request of `need` tokens.
fn fits(candidate: &Candidate, need: Tokens) -> bool {
    let known = candidate.load.as_ref().map(|load| load.capacity);
    need <= known.map_or(candidate.memory, |known| known.min(candidate.memory))
}
