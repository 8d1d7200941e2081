use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::Timer;

use super::candidates::candidates;
use super::frames::Frames;
use super::long;
use super::state::{lock, unguessable, State};
use crate::error::{Error, Executed, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{tokens, AttemptId, ModelId, RequestId, TargetId, Tokens, WorkspaceId};
use crate::route::{Candidate, Requirements};
use crate::target::Class;
use crate::wire::{Body, Run};

/// Attempts for one request; more of them mean that no target can take it.
const ATTEMPT_LIMIT: u32 = 64;

/// Wait before a target is tried again that was tried before, for example while it gets a new owner.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Longest of these waits, which double each time.
const REPEAT_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Targets that may refuse a deadline before the refusal is final.
const DEADLINE_REFUSALS: u32 = 3;

/// Time that is left to other hops to report a passed deadline themselves.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A checked completion request.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) adapter: Option<String>,
    /// Monotonic time of this process at which the answer must be complete.
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
pub(crate) enum Step {
    End { cached: Tokens, count: u64 },
    Token { text: String },
}

/// An answer in progress. It continues on another target if one fails; dropping it cancels the request.
pub(crate) struct Answer {
    attempts: u32,
    frames: Option<Frames>,
    gang: Option<long::Gang>,
    pause: Duration,
    question: Question,
    /// Whether an attempt may have reached a target.
    reached: bool,
    refusals: u32,
    sent: u64,
    start: u64,
    state: Arc<State>,
    target: TargetId,
    tried: Vec<TargetId>,
}

impl Question {
    pub(crate) fn class(&self) -> Class {
        Class::of(tokens(self.prompt.len()))
    }
}

impl Answer {
    pub(crate) fn new(state: &Arc<State>, question: Question) -> Self {
        lock(&state.budget).record_attempt();
        Self {
            attempts: 0,
            frames: None,
            gang: None,
            pause: REPEAT_PAUSE,
            question,
            reached: false,
            refusals: 0,
            sent: 0,
            start: 0,
            state: state.clone(),
            target: TargetId::new(),
            tried: Vec::new(),
        }
    }

    /// The next element, or the final error.
    pub(crate) async fn next(&mut self) -> Result<Step, Error> {
        let now = self.state.clock.now();
        let left = self.question.deadline.saturating_sub(now) + DEADLINE_GRACE;
        let outcome = future::or(self.step(), async {
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

    async fn step(&mut self) -> Result<Step, Error> {
        loop {
            let outcome = match self.frames.take() {
                None => Box::pin(self.open()).await,
                Some(mut frames) => {
                    let body = match &self.gang {
                        None => frames.next(&self.state).await,
                        Some(gang) => {
                            let lapse = async { Err(gang.failed().await) };
                            future::or(frames.next(&self.state), lapse).await
                        }
                    };
                    self.frames = Some(frames);
                    body.map(Some)
                }
            };
            match outcome {
                Ok(None) => {}
                Ok(Some(body)) => {
                    if let Some(step) = self.take(body).await? {
                        return Ok(step);
                    }
                }
                Err(error) => self.retry(error).await?,
            }
        }
    }

    async fn take(&mut self, body: Body) -> Result<Option<Step>, Error> {
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
                    let message = "the answer has fewer tokens than its target counted";
                    self.retry(Error::new(Kind::UpstreamFailed, message))
                        .await?;
                    return Ok(None);
                }
                if self.gang.take().is_some() {
                    self.state.metrics.count_gang("finished");
                }
                let count = self.sent;
                Ok(Some(Step::End { cached, count }))
            }
            Body::Fail { failure, load } => {
                if let Some(load) = load {
                    lock(&self.state.loads).set(&self.target, load, now);
                }
                self.retry(failure.into()).await?;
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
                // A later attempt continues after the tokens that the caller has.
                self.question.prompt.push_str(&text);
                Ok(Some(Step::Token { text }))
            }
        }
    }

    /// Prepares another attempt after a failed one, or returns the error if there is no other.
    async fn retry(&mut self, error: Error) -> Result<(), Error> {
        self.frames = None;
        self.gang = None;
        let kind = error.kind();
        self.reached |= kind.executed() == Executed::Unknown;
        let repeatable = kind.retriable() || matches!(kind, Kind::UpstreamFailed | Kind::Stalled);
        if !repeatable {
            return Err(error);
        }
        // A moved target costs nothing; it is tried elsewhere until the deadline.
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
            request = hex(self.question.request),
            target = self.target.as_str(),
            kind = kind.name(),
            sent = self.sent
        );
        if let Err(index) = self.tried.binary_search(&self.target) {
            self.tried.insert(index, self.target.clone());
        }
        Ok(())
    }

    /// Starts the next attempt. `None` means that it has started or that another try makes sense.
    async fn open(&mut self) -> Result<Option<Body>, Error> {
        if self.sent >= self.question.max_tokens {
            // Only the end was lost; the caller has every token.
            let (cached, count) = (0, self.sent - self.start);
            let target = self.target.clone();
            let load = self.state.slot(&target).load(self.state.clock.now());
            return Ok(Some(Body::End {
                cached,
                count,
                load,
                target,
            }));
        }
        self.start = self.sent;
        let ask = self.ask();
        let pool = candidates(&self.state, self.question.class(), &self.question.model)?;
        let now = self.state.clock.now();
        let chosen = lock(&self.state.policy).choose(&ask, &pool, now);
        let attempt = unguessable();
        if let Some(index) = chosen {
            self.target = pool[index].target.clone();
            let rate = self.state.settings.queue.prefill_rate.max(1);
            let prefill = Duration::from_secs_f64(ask.prompt as f64 / rate as f64);
            lock(&self.state.loads).add(&self.target, ask.prompt, prefill);
            let run = self.run(attempt, Vec::new());
            self.frames = Some(Frames::open(&self.state, run).await?);
            return Ok(None);
        }
        if pool
            .iter()
            .any(|candidate| fits(candidate, ask.prompt + ask.max_tokens))
        {
            self.wait().await?;
            return Ok(None);
        }
        self.open_gang(attempt).await?;
        Ok(None)
    }

    async fn open_gang(&mut self, attempt: AttemptId) -> Result<(), Error> {
        let left = self.question.max_tokens - self.sent;
        let pool = || candidates(&self.state, self.question.class(), &self.question.model);
        let gang = long::prepare(&self.state, &self.question, left, pool).await?;
        self.reached = true;
        self.target = gang.target().clone();
        let mut run = self.run(attempt, gang.context());
        // The whole prompt is in the handles of the gang.
        run.prompt = String::new();
        self.gang = Some(gang);
        self.frames = Some(Frames::open(&self.state, run).await?);
        Ok(())
    }

    /// Waits before targets that were tried are tried again.
    async fn wait(&mut self) -> Result<(), Error> {
        if self.state.clock.now() + self.pause >= self.question.deadline {
            let kind = match self.refusals {
                0 => Kind::Unavailable,
                _ => Kind::DeadlineRefused,
            };
            let message = "no target can take the request before its deadline";
            return Err(Error::new(kind, message));
        }
        self.tried.clear();
        Timer::after(self.pause).await;
        self.pause = (self.pause * 2).min(REPEAT_PAUSE_MAX);
        Ok(())
    }

    fn ask(&self) -> Requirements {
        Requirements {
            class: self.question.class(),
            domain: self.state.settings.domain.clone(),
            max_tokens: self.question.max_tokens,
            prefix: self.question.prefix.clone(),
            prompt: tokens(self.question.prompt.len()),
            tried: self.tried.clone(),
        }
    }

    fn run(&self, attempt: AttemptId, context: Vec<AttemptId>) -> Run {
        let now = self.state.clock.now();
        let left = self.question.deadline.saturating_sub(now);
        Run {
            adapter: self.question.adapter.clone(),
            attempt,
            context,
            deadline_ms: left.as_millis() as u64,
            hops: 0,
            max_tokens: self.question.max_tokens - self.sent,
            model: self.question.model.clone(),
            prefix: self.question.prefix.clone(),
            prompt: self.question.prompt.clone(),
            request: self.question.request,
            start: self.sent,
            target: self.target.clone(),
            weight: self.question.weight,
            workspace: self.question.workspace.clone(),
        }
    }
}

/// Whether one engine can hold the request.
fn fits(candidate: &Candidate, need: Tokens) -> bool {
    let known = candidate.load.as_ref().map(|load| load.capacity);
    need <= known.map_or(candidate.memory, |known| known.min(candidate.memory))
}
