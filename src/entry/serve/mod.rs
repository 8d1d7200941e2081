//! Serving of a caller's request: admission, placement, sending and retries.

mod admission;
mod attempt;
mod find;
mod hedge;
mod hold;
mod in_flight;
mod open;
mod outcome;
mod permit;
mod quarantine;
mod record;
mod send;
mod target_end;

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::or;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

use super::config::RouteKind;
use super::late::Recorder;
use super::platform::Failure;
use super::{
    fragment_key, Answer, Content, FragmentKey, Instance, Relay, Request, Route, Service, TargetKey,
};
use crate::error::Kind;
use crate::event;
use crate::id::WorkspaceId;

use admission::Admission;
use attempt::Attempt;
pub(super) use in_flight::InFlight;
pub(super) use open::{Opening, RETRY_INTERVAL};
use outcome::GivenUp;
pub(super) use outcome::Opened;

/// Time until a request without a placement tries again; heartbeats bring news about as often.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of sends of one request, including those that a target refused or that could not be sent.
const MAX_SENDS: u32 = 6;

/// Share of the caller's patience after which a target that accepts connections but sends nothing is abandoned, since
/// its connection may be dead. Silence of a target that still accepts connections is no reason to abandon it earlier.
pub(super) const SILENCE_SHARE: f64 = 0.8;

/// Retry-after time for a caller whose request found no placement: about as long as a short answer takes to free a
/// slot.
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// Retry-after time while this instance has no configuration or no targets.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_secs(1);

/// A caller's request in progress.
pub(super) struct Exchange {
    pub(super) arrival: Duration,
    pub(super) instance: Rc<Instance>,
    /// Time at which the request times out: the caller's deadline or the route's timeout, whichever is earlier.
    pub(super) deadline: Duration,
    /// Content type of the stream that the caller already has a part of.
    content_type: Option<HeaderValue>,
    /// Fragments of the prompt that other requests may have too.
    fragments: Vec<FragmentKey>,
    /// Times that explain a late response.
    pub(super) late: Rc<Recorder>,
    priority: u8,
    /// Targets at which the request ran or may have run, which count toward the route's maximum: those that gave a
    /// complete answer, failed or fell silent. One that ended while it wrote a stream does not count.
    ran: Vec<TargetKey>,
    /// Targets that refused the request.
    refused: Vec<TargetKey>,
    pub(super) request: Rc<Request>,
    pub(super) route: Rc<Route>,
    /// Whether the caller already has events.
    pub(super) resumes: bool,
    sends: u32,
    pub(super) service: Rc<Service>,
    tried: Vec<TargetKey>,
    /// Target of the newest send if it is not in `ran` yet.
    uncounted: Option<TargetKey>,
    workspace: Option<WorkspaceId>,
}

/// A request without an answer; logged as left by its caller if it is dropped before it gets one.
struct Unanswered<'a> {
    arrival: Duration,
    instance: &'a Instance,
    is_answered: bool,
    late: Rc<Recorder>,
    request: &'a Request,
    route: Rc<Route>,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let (instance, id) = (self.instance, &self.request.id);
            let kind = self.route.kind.name();
            instance.finish(kind, id, self.arrival, "caller_left");
            self.late.end(instance, self.request, &self.route);
        }
    }
}

impl Instance {
    /// Starts following the log and exchanging heartbeats with other instances.
    ///
    /// # Errors
    /// Fails if the address for other instances cannot be bound.
    pub async fn start(self: &Rc<Self>) -> std::io::Result<()> {
        super::peer::start(self).await?;
        super::follow::start(self);
        let probe = super::probe::run(self.clone());
        self.executor.spawn(probe).detach();
        event!(
            self.source,
            "started",
            incarnation = event::hex(self.incarnation)
        );
        Ok(())
    }

    /// Serves a caller's request. Dropping the future cancels the request.
    pub async fn serve(self: &Rc<Self>, request: Request) -> Answer {
        let arrival = self.clock.now();
        let request = Rc::new(request);
        let mut exchange = match self.admit(&request, arrival) {
            Ok(exchange) => exchange,
            Err((kind, retry)) => {
                self.finish("none", &request.id, arrival, kind.name());
                return Answer::Refusal { kind, retry };
            }
        };
        let kind = exchange.route.kind.name();
        let mut unanswered = Unanswered {
            arrival,
            instance: self,
            is_answered: false,
            late: exchange.late.clone(),
            request: &request,
            route: exchange.route.clone(),
        };
        let ended = async {
            self.wait_for_end().await;
            None
        };
        let open = async { Some(exchange.open(request.last_event_id).await) };
        let opened = or(open, ended).await;
        unanswered.is_answered = true;
        let max_pause = exchange.route.max_pause();
        let opened = match opened {
            Some(opened) => opened,
            None => Opening::GivenUp(exchange.interrupted()),
        };
        let elapsed = self.clock.now().saturating_sub(arrival).as_secs_f64();
        self.metrics
            .first_event
            .with_label_values(&[kind])
            .observe(elapsed);
        match opened {
            Opening::Stream(opened) => {
                let (status, headers) = (opened.status, opened.headers.clone());
                let relay = Relay::new(exchange, *opened);
                Answer::Reply {
                    max_pause: relay.max_pause(),
                    content: Content::Streamed(Box::new(relay)),
                    headers,
                    status,
                }
            }
            Opening::Answer(reply) => {
                self.finish(kind, &request.id, arrival, reply.status.as_str());
                exchange.explain_lateness();
                reply.into_answer(max_pause)
            }
            Opening::GivenUp(given_up) => {
                self.finish(kind, &request.id, arrival, given_up.kind.name());
                // A refusal has its own line.
                if exchange.sends > 0 {
                    exchange.explain_lateness();
                }
                match given_up.answered {
                    Some(reply) => reply.into_answer(max_pause),
                    None => Answer::Refusal {
                        kind: given_up.kind,
                        retry: given_up.retry,
                    },
                }
            }
        }
    }

    /// Counts and logs the end of a request.
    pub(super) fn finish(&self, kind: &str, id: &str, arrival: Duration, outcome: &str) {
        self.metrics
            .requests
            .with_label_values(&[kind, outcome])
            .inc();
        let took = self.clock.now().saturating_sub(arrival);
        event!(
            self.source,
            "request_end",
            request = id,
            kind = kind,
            outcome = outcome,
            ms = took.as_millis() as u64
        );
    }

    /// Looks up route, workspace and service.
    fn admit(
        self: &Rc<Self>,
        request: &Rc<Request>,
        arrival: Duration,
    ) -> Result<Exchange, (Kind, Option<Duration>)> {
        if self.is_refusing() {
            return Err((Kind::Unavailable, Some(RETRY_AFTER)));
        }
        let Some(config) = self.config() else {
            return Err((Kind::Unavailable, Some(RETRY_AFTER_UNAVAILABLE)));
        };
        let Some(route) = config.route(&request.host, &request.path) else {
            return Err((Kind::UnknownService, None));
        };
        let workspace = request.key.as_deref().and_then(|key| config.workspace(key));
        if config.has_workspaces() && !route.allow_anonymous && workspace.is_none() {
            return Err((Kind::Unauthorized, None));
        }
        let hash = xxh3_64(request.id.as_bytes());
        let service = route.service(hash).and_then(|name| config.service(name));
        let Some(service) = service else {
            return Err((Kind::Unavailable, Some(RETRY_AFTER_UNAVAILABLE)));
        };
        let fragments = request.shared_fragments.iter();
        let fragments: Vec<FragmentKey> = fragments
            .map(|id| fragment_key(&service.name, id))
            .collect();
        if self.is_banned(request, &fragments) {
            return Err((Kind::FragmentBanned, None));
        }
        let timeout = request.deadline.unwrap_or(route.timeout).min(route.timeout);
        self.budgets
            .borrow_mut()
            .count_request(&service.name, arrival);
        self.earn_hedge(&service.name);
        Ok(Exchange {
            arrival,
            content_type: None,
            instance: self.clone(),
            deadline: arrival + timeout,
            fragments,
            late: Rc::new(Recorder::new(arrival)),
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            ran: Vec::new(),
            refused: Vec::new(),
            request: request.clone(),
            route: route.clone(),
            resumes: false,
            sends: 0,
            service: service.clone(),
            tried: Vec::new(),
            uncounted: None,
            workspace: workspace.map(|workspace| workspace.name.clone()),
        })
    }
}

impl Exchange {
    /// Time until the request times out.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.instance.clock.now())
    }

    /// Time until the first event has to arrive; a caller without one disconnects then.
    fn time_left_to_start(&self, now: Duration) -> Duration {
        let until_disconnect = (self.arrival + self.route.patience()).saturating_sub(now);
        match self.resumes {
            false => self.time_left().min(until_disconnect),
            true => self.time_left(),
        }
    }

    /// Logs and counts why the response was late, if it was.
    pub(super) fn explain_lateness(&self) {
        self.late.end(&self.instance, &self.request, &self.route);
    }

    /// Remembers the head of the stream that the caller gets.
    pub(super) fn begin_stream(&mut self, headers: &HeaderMap) {
        self.content_type = headers.get(CONTENT_TYPE).cloned();
    }

    /// Whether the limits of the route and the budget allow a retry.
    pub(super) fn may_retry(&self) -> bool {
        if !self.may_use_another() && !self.resumes
            || self.sends >= MAX_SENDS
            || self.time_left().is_zero()
        {
            return false;
        }
        let instance = &self.instance;
        let (now, instances) = (instance.clock.now(), instance.instances());
        let mut budgets = instance.budgets.borrow_mut();
        let has_budget = budgets.has_retry(&self.service.name, instances, now);
        if !has_budget {
            self.log_budget_empty();
        }
        has_budget
    }

    /// Spends a retry from the budget; false if the budget is used up.
    fn spend_retry(&self) -> bool {
        let instance = &self.instance;
        let (now, instances) = (instance.clock.now(), instance.instances());
        let mut budgets = instance.budgets.borrow_mut();
        let has_budget = budgets.spend(&self.service.name, instances, now);
        if !has_budget {
            self.log_budget_empty();
        }
        has_budget
    }

    fn log_budget_empty(&self) {
        event!(
            self.instance.source,
            "budget_empty",
            request = self.request.id.as_str(),
            service = self.service.name.as_str()
        );
    }

    /// Counts a target at which the request ran or may have run. A stream that returns to a target uses no further one.
    pub(super) fn count_run(&mut self, target: TargetKey) {
        if !self.resumes || !self.ran.contains(&target) {
            self.ran.push(target);
        }
    }

    /// Counts the target of the newest send, which may have run the request.
    pub(super) fn count_sent(&mut self) {
        if let Some(key) = self.uncounted.take() {
            self.count_run(key);
        }
    }

    /// Counts the target of a send that ended, unless it was counted when it fell silent or was hedged.
    fn count_outcome(&mut self, attempt: &Attempt) {
        if !attempt.is_counted {
            self.count_sent();
        }
    }

    /// Takes back what was counted for a send that its target did not run.
    fn discount(&mut self, attempt: &Attempt) {
        if !attempt.is_counted {
            self.uncounted = None;
            self.cancel_trial();
            return;
        }
        let key = attempt.target.key();
        if let Some(at) = self.ran.iter().rposition(|ran| *ran == key) {
            self.ran.remove(at);
        }
    }

    /// Whether the route's maximum allows a target at which the request has not run.
    fn may_use_another(&self) -> bool {
        self.ran.len() < self.route.max_attempts as usize
    }

    /// The error for a request that may have run and must not be retried.
    fn outcome_unknown(&self, failure: Failure) -> GivenUp {
        let is_late = failure == Failure::Silent || self.time_left().is_zero();
        let kind = if is_late {
            Kind::DeadlineExceeded
        } else {
            Kind::OutcomeUnknown
        };
        GivenUp {
            answered: None,
            kind,
            retry: None,
        }
    }

    /// The error for a request that the process has to end before its answer.
    fn interrupted(&self) -> GivenUp {
        let kind = match self.sends {
            0 => Kind::Unavailable,
            _ => Kind::OutcomeUnknown,
        };
        GivenUp {
            answered: None,
            kind,
            retry: (self.sends == 0).then_some(RETRY_AFTER),
        }
    }

    fn retries_exhausted(&self) -> GivenUp {
        let kind = match (self.ran.is_empty(), self.time_left().is_zero()) {
            (true, true) => Kind::DeadlineRefused,
            (true, false) => Kind::Overloaded,
            (false, true) => Kind::DeadlineExceeded,
            (false, false) => Kind::UpstreamFailed,
        };
        GivenUp {
            answered: None,
            kind,
            retry: self.ran.is_empty().then_some(RETRY_AFTER),
        }
    }
}
