use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use http::{HeaderMap, StatusCode};
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use super::border::{Body, Call, Failure, Reply};
use super::reservation::Reservation;
use super::{
    pick, place, Answer, Ask, Choice, Content, Engine, Events, Instance, Placement, Relay, Request,
    Route, Service, Target, TargetKey, Work,
};
use crate::error::Kind;
use crate::event;
use crate::id::WorkspaceId;

use super::config::Kind as RouteKind;

/// Time until a request that found no place looks again; beats bring news about as often.
const LOOK: Duration = Duration::from_millis(25);

/// Most sends of one request, those included that a target turned away or that never left.
const SENDS: u32 = 6;

/// Time past the predicted first event after which a silent target is asked for a new connection: several passes.
const QUIET: Duration = Duration::from_millis(250);

/// Longest time for which memory may be set aside for a request that does not start: it counts as forgotten after nine
/// seconds, and the last hold may outlive the request by three and a half.
const UNUSED: Duration = Duration::from_millis(5_000);

/// Part of the callers' patience after which a target that accepts connections but sends nothing is given up: its
/// connection may be silent for good. Silence of a target that works is no reason to end a request.
pub(super) const GIVE_UP: f64 = 0.8;

/// A repeatable request without a stream is sent again after this many objectives, if it may be.
const LATE: u32 = 3;

/// Part of the objective that a request may wait for a place.
const QUEUE_SHARE: u32 = 2;

/// When a caller that found no place may come back: about as long as a short answer takes to make room.
const COME_BACK: Duration = Duration::from_millis(700);

/// When a caller may come back while this instance knows no configuration or no target.
const COME_BACK_LATER: Duration = Duration::from_secs(1);

/// Largest body of an answer that is read whole before it is handed on, so that a broken one can be fetched anew.
const WHOLE_BYTES: usize = 256 << 10;

/// Removes a request from the view when it ends, however it ends.
pub(super) struct Holding {
    instance: Rc<Instance>,
    number: u64,
    /// Memory at other engines; released when the request ends.
    reservations: Vec<Reservation>,
}

impl Holding {
    /// Notes that the prompt was read.
    pub(super) fn read(&self) {
        self.instance.view.borrow_mut().read(self.number);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.instance.view.borrow_mut().finish(self.number);
    }
}

/// A stream whose first events have arrived.
pub(super) struct Opened {
    pub(super) body: Box<dyn Body>,
    pub(super) events: Events,
    pub(super) first: Bytes,
    pub(super) headers: HeaderMap,
    pub(super) holding: Holding,
    pub(super) status: StatusCode,
    pub(super) target: Rc<Target>,
}

/// A whole answer of a target.
pub(super) struct Whole {
    body: Bytes,
    headers: HeaderMap,
    status: StatusCode,
}

/// What came of one send.
enum Outcome {
    /// A failure that the target itself answered, or a success of a plain service.
    Answered(Whole),
    /// No answer that counts.
    Failed(Failure),
    /// Memory that the request needs at other targets was not free; nothing was sent.
    NoMemory,
    /// The target says that it did not run the request.
    NotRun(Option<String>),
    Opened(Opened),
}

/// Why no answer can be had.
pub(super) struct GivenUp {
    answered: Option<Whole>,
    kind: Kind,
    retry: Option<Duration>,
}

/// One request of a caller on its way.
pub(super) struct Exchange {
    pub(super) arrival: Duration,
    pub(super) instance: Rc<Instance>,
    /// Time at which the caller or the route gives up.
    pub(super) limit: Duration,
    rank: u8,
    pub(super) request: Rc<Request>,
    pub(super) route: Rc<Route>,
    /// Whether the caller has events already.
    pub(super) resumes: bool,
    /// Sends after which the request may have run on a target that still lives.
    runs: u32,
    sends: u32,
    pub(super) service: Rc<Service>,
    tried: Vec<TargetKey>,
    workspace: Option<WorkspaceId>,
}

impl Instance {
    /// Starts to follow the log and to exchange beats with other instances.
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

    /// Serves a request of a caller. Dropping the future ends the request.
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
        let opened = exchange.open(request.resume).await;
        let first = self.clock.now().saturating_sub(arrival).as_secs_f64();
        self.metrics.first.with_label_values(&[kind]).observe(first);
        match opened {
            Ok(Ok(opened)) => {
                let (status, headers) = (opened.status, opened.headers.clone());
                let relay = Relay::new(exchange, opened);
                Answer::Reply {
                    content: Content::Passing(Box::new(relay)),
                    headers,
                    status,
                }
            }
            Ok(Err(whole)) => {
                self.finish(kind, &request.id, arrival, whole.status.as_str());
                whole.into()
            }
            Err(given_up) => {
                self.finish(kind, &request.id, arrival, given_up.kind.name());
                match given_up.answered {
                    Some(whole) => whole.into(),
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
        let Some(config) = self.config() else {
            return Err((Kind::Unavailable, Some(COME_BACK_LATER)));
        };
        let Some(route) = config.route(&request.host, &request.path) else {
            return Err((Kind::UnknownService, None));
        };
        let known = request.key.as_deref().and_then(|key| config.workspace(key));
        if config.has_workspaces() && !route.anonymous && known.is_none() {
            return Err((Kind::Unauthorized, None));
        }
        let hash = xxh3_64(request.id.as_bytes());
        let service = route.service(hash).and_then(|name| config.service(name));
        let Some(service) = service else {
            return Err((Kind::Unavailable, Some(COME_BACK_LATER)));
        };
        let left = request.deadline.unwrap_or(route.timeout).min(route.timeout);
        self.budgets.borrow_mut().request(&service.name, arrival);
        Ok(Exchange {
            arrival,
            instance: self.clone(),
            limit: arrival + left,
            rank: known.and_then(|known| known.rank).unwrap_or(route.rank),
            request: request.clone(),
            route: route.clone(),
            resumes: false,
            runs: 0,
            sends: 0,
            service: service.clone(),
            tried: Vec::new(),
            workspace: known.map(|known| known.name.clone()),
        })
    }
}

impl Exchange {
    /// Sends the request until a target answers. A stream goes on after the event `resume`.
    pub(super) async fn open(
        &mut self,
        resume: Option<u64>,
    ) -> Result<Result<Opened, Whole>, GivenUp> {
        let mut answered = None;
        loop {
            let placement = match self.find().await {
                Ok(placement) => placement,
                Err(mut given_up) => {
                    given_up.answered = answered;
                    return Err(given_up);
                }
            };
            let (target, key) = (placement.first.clone(), placement.first.key());
            self.sends += 1;
            self.tried.push(key);
            let started = self.instance.clock.now();
            let outcome = self.send(placement, resume).await;
            let took = self.instance.clock.now().saturating_sub(started);
            self.learn(&target, &outcome, took);
            match outcome {
                Outcome::Opened(opened) => return Ok(Ok(opened)),
                Outcome::Answered(whole) => {
                    self.runs += 1;
                    let is_final = !whole.status.is_server_error();
                    if is_final || !self.route.kind.is_repeatable() || resume.is_some() {
                        return Ok(Err(whole));
                    }
                    answered = Some(whole);
                }
                Outcome::Failed(failure) if failure.may_have_run() => {
                    self.runs += 1;
                    if !self.route.kind.is_repeatable() {
                        return Err(self.unknown(failure));
                    }
                }
                Outcome::NoMemory => {
                    self.tried.pop();
                    Timer::after(LOOK).await;
                    if self.sends < SENDS && !self.left().is_zero() {
                        continue;
                    }
                }
                Outcome::Failed(_) | Outcome::NotRun(_) => {}
            }
            if !self.may_repeat() {
                let mut given_up = self.out_of_tries();
                given_up.answered = answered;
                return Err(given_up);
            }
        }
    }

    /// Time left.
    pub(super) fn left(&self) -> Duration {
        self.limit.saturating_sub(self.instance.clock.now())
    }

    /// Time left for the first event: a caller that has none by then leaves.
    fn left_to_start(&self, now: Duration) -> Duration {
        let leaves = (self.arrival + self.route.patience()).saturating_sub(now);
        match self.resumes {
            false => self.left().min(leaves),
            true => self.left(),
        }
    }

    /// Takes one further send from the budget, if the route allows one.
    pub(super) fn may_repeat(&self) -> bool {
        if self.runs >= self.route.attempts || self.sends >= SENDS || self.left().is_zero() {
            return false;
        }
        let instance = &self.instance;
        let now = instance.clock.now();
        let instances = instance.instances();
        let mut budgets = instance.budgets.borrow_mut();
        let has_budget = budgets.spend(&self.service.name, instances, now);
        if !has_budget {
            event!(
                instance.source,
                "budget_empty",
                request = self.request.id.as_str(),
                service = self.service.name.as_str()
            );
        }
        has_budget
    }

    /// Notes that the target of the last send ended, so that it does not count as one that runs the request.
    pub(super) fn forget_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
    }

    /// Notes that a stream was opened and broke.
    pub(super) fn count_run(&mut self) {
        self.runs += 1;
    }

    /// Finds a place, and waits for one for a part of the objective.
    async fn find(&self) -> Result<Placement, GivenUp> {
        let instance = &self.instance;
        let patience = match self.route.kind {
            // A caller that has events already cannot be told to come back.
            RouteKind::Stream { .. } if self.resumes => self.left(),
            RouteKind::Stream { .. } => self
                .left_to_start(instance.clock.now())
                .min(self.route.objective),
            RouteKind::Once | RouteKind::Repeatable => {
                (self.route.objective / QUEUE_SHARE).min(self.left() / 4)
            }
        };
        let since = instance.clock.now();
        let until = since + patience;
        loop {
            match self.choose() {
                Choice::Place(placement) => return Ok(placement),
                Choice::Hopeless => break,
                Choice::Wait if instance.clock.now() >= until => break,
                Choice::Wait => {}
            }
            Timer::after(LOOK).await;
        }
        let engines = instance.engines(&self.service, &[], true);
        let full = |engine: &Engine| engine.load.running >= engine.target.slots;
        event!(
            instance.source,
            "no_place",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            version = instance.config().map(|config| config.version),
            waited_ms = (instance.clock.now() - since).as_millis() as u64,
            targets = engines.len(),
            full = engines.iter().filter(|engine| full(engine)).count(),
            least_backlog_ms = engines
                .iter()
                .map(|engine| engine.load.backlog.as_millis() as u64)
                .min(),
            running = engines
                .iter()
                .map(|engine| engine.load.running)
                .sum::<u32>()
        );
        let (kind, retry) = if !engines.is_empty() {
            (Kind::Overloaded, COME_BACK)
        } else {
            (Kind::Unavailable, COME_BACK_LATER)
        };
        // What was sent before and may have run must not be reported as not run.
        let kind = if self.runs > 0 {
            Kind::UpstreamFailed
        } else {
            kind
        };
        Err(GivenUp {
            answered: None,
            kind,
            retry: (self.runs == 0).then_some(retry),
        })
    }

    fn choose(&self) -> Choice {
        let instance = &self.instance;
        let mut engines = instance.engines(&self.service, &self.tried, false);
        if engines.is_empty() {
            engines = instance.engines(&self.service, &[], true);
        }
        let now = instance.clock.now();
        let luck = fastrand::u64(..);
        let Some(figures) = &self.service.figures else {
            let Some(first) = pick(&engines, luck) else {
                return Choice::Wait;
            };
            return Choice::Place(Placement {
                background: false,
                first,
                helpers: Vec::new(),
                light: false,
                part: Duration::ZERO,
                rest: 0,
                wait: self.route.objective,
            });
        };
        let prompt = self.request.prompt.unwrap_or_default();
        let ask = Ask {
            aim: (self.arrival + self.route.objective).saturating_sub(now),
            gap: self.route.gap,
            left: self.left_to_start(now),
            prompt: prompt.tokens as u32,
            tokens: (prompt.tokens + prompt.answer) as u32,
        };
        place(&ask, figures, &engines, luck)
    }

    async fn send(&self, placement: Placement, resume: Option<u64>) -> Outcome {
        let instance = &self.instance;
        let now = instance.clock.now();
        let target = placement.first.clone();
        let helpers = &placement.helpers;
        let number = instance.view.borrow_mut().start(Work {
            background: placement.background,
            finish: now + placement.wait,
            first: target.key(),
            gap: self.route.gap,
            helpers: helpers
                .iter()
                .map(|helper| (helper.target.key(), helper.hold))
                .collect(),
            light: placement.light,
            part: placement.part,
            start: now,
            tokens: placement.rest,
        });
        let mut holding = Holding {
            instance: instance.clone(),
            number,
            reservations: Vec::new(),
        };
        let mut calls = Vec::with_capacity(helpers.len());
        for helper in helpers {
            let mut ticket = None;
            if helper.hold > 0 {
                let taken = Reservation::take(instance, &helper.target, helper.hold).await;
                let Some(reservation) = taken else {
                    return Outcome::NoMemory;
                };
                ticket = Some(reservation.ticket().to_owned());
                holding.reservations.push(reservation);
            }
            calls.push((helper.target.address, ticket));
        }
        instance.cold.borrow_mut().count(target.key(), now);
        event!(
            instance.source,
            "send",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            target = target.id.as_str(),
            attempt = self.sends,
            prompt = self.request.prompt.unwrap_or_default().tokens,
            helpers = placement.helpers.len(),
            predicted_ms = placement.wait.as_millis() as u64,
            left_ms = self.left().as_millis() as u64
        );
        let holds = !holding.reservations.is_empty();
        let call = Call {
            deadline: self.left(),
            helpers: calls,
            rank: self.rank,
            request: self.request.clone(),
            resume,
            target: target.clone(),
            workspace: self.workspace.clone(),
        };
        let exchange = async {
            match instance.targets.send(call).await {
                Ok(reply) => self.take(reply, holding, &target, resume).await,
                Err(failure) => Outcome::Failed(failure),
            }
        };
        let silence = async {
            self.silence(&target, placement.wait, holds).await;
            Outcome::Failed(Failure::Silent)
        };
        or(exchange, silence).await
    }

    /// Takes the head of an answer, and the whole body or the first event.
    async fn take(
        &self,
        mut reply: Reply,
        holding: Holding,
        target: &Rc<Target>,
        resume: Option<u64>,
    ) -> Outcome {
        if reply
            .request
            .as_ref()
            .is_some_and(|id| *id != self.request.id)
        {
            return Outcome::Failed(Failure::Broken);
        }
        if reply.not_run || reply.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::NotRun(reply.fault);
        }
        // A success that the target does not vouch for is not its answer.
        if reply.status.is_success() && !reply.signed {
            return Outcome::Failed(Failure::Broken);
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        if !is_stream || !reply.status.is_success() {
            return match whole(&mut reply).await {
                Ok(body) => Outcome::Answered(Whole {
                    body,
                    headers: reply.headers,
                    status: reply.status,
                }),
                Err(failure) => Outcome::Failed(failure),
            };
        }
        let mut events = Events::after(resume);
        let mut first = Bytes::new();
        while first.is_empty() {
            first = match reply.body.next().await {
                Some(Ok(bytes)) => match events.push(&bytes) {
                    Ok(whole) => whole,
                    Err(failure) => return Outcome::Failed(failure),
                },
                Some(Err(failure)) => return Outcome::Failed(failure),
                None if events.is_whole() => break,
                None => return Outcome::Failed(Failure::Broken),
            };
        }
        holding.read();
        Outcome::Opened(Opened {
            body: reply.body,
            events,
            first,
            headers: reply.headers,
            holding,
            status: reply.status,
            target: target.clone(),
        })
    }

    /// Ends when the target has been silent for too long.
    async fn silence(&self, target: &Target, predicted: Duration, holds: bool) {
        let limit = if holds {
            self.left().min(UNUSED)
        } else {
            self.left()
        };
        let may_repeat = self.route.kind.is_repeatable() && self.runs + 1 < self.route.attempts;
        if !may_repeat {
            Timer::after(limit).await;
            return;
        }
        if !matches!(self.route.kind, RouteKind::Stream { .. }) {
            Timer::after((self.route.objective * LATE).min(limit)).await;
            return;
        }
        let patience = self.route.patience().mul_f64(GIVE_UP).min(limit);
        let mut waited = Duration::ZERO;
        while waited < patience {
            let step = (predicted + QUIET).min(patience - waited);
            Timer::after(step).await;
            waited += step;
            if waited < patience && !self.instance.targets.reach(target.address).await {
                self.instance.lost(target);
                return;
            }
        }
    }

    /// Takes from an outcome what it says about the target.
    fn learn(&self, target: &Target, outcome: &Outcome, took: Duration) {
        let instance = &self.instance;
        let now = instance.clock.now();
        let key = target.key();
        let name = {
            let mut health = instance.health.borrow_mut();
            match outcome {
                Outcome::Opened(_) => {
                    health.record(key, true, now);
                    "opened"
                }
                Outcome::Answered(whole) => {
                    health.record(key, !whole.status.is_server_error(), now);
                    "answered"
                }
                Outcome::Failed(Failure::Unreachable) => "unreachable",
                Outcome::Failed(Failure::Silent) if self.left().is_zero() => "silent",
                Outcome::Failed(failure) => {
                    health.record(key, false, now);
                    failure.name()
                }
                Outcome::NoMemory => "no_memory",
                Outcome::NotRun(fault) => {
                    self.blame(&mut health, fault.as_deref(), now);
                    "not_run"
                }
            }
        };
        match outcome {
            Outcome::Failed(Failure::Unreachable) => instance.lost(target),
            Outcome::Opened(_) | Outcome::Answered(_) => instance.reached(target),
            Outcome::Failed(_) | Outcome::NoMemory | Outcome::NotRun(_) => {}
        }
        instance.metrics.sends.with_label_values(&[name]).inc();
        event!(
            instance.source,
            "sent",
            request = self.request.id.as_str(),
            target = target.id.as_str(),
            attempt = self.sends,
            outcome = name,
            ms = took.as_millis() as u64
        );
    }

    /// Avoids a target that another one names as the cause of its failure.
    fn blame(&self, health: &mut super::Health, fault: Option<&str>, now: Duration) {
        let Some(fault) = fault else {
            return;
        };
        let directory = self.instance.directory.borrow();
        let named = directory
            .targets()
            .find(|target| target.id == fault || target.address.to_string() == fault);
        if let Some(target) = named {
            health.avoid(target.key(), now);
        }
    }

    /// The end of a request that must not be repeated and may have run.
    fn unknown(&self, failure: Failure) -> GivenUp {
        let is_late = failure == Failure::Silent || self.left().is_zero();
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

    fn out_of_tries(&self) -> GivenUp {
        let kind = match (self.runs, self.left().is_zero()) {
            (0, true) => Kind::DeadlineRefused,
            (0, false) => Kind::Overloaded,
            (_, true) => Kind::DeadlineExceeded,
            (_, false) => Kind::UpstreamFailed,
        };
        GivenUp {
            answered: None,
            kind,
            retry: (self.runs == 0).then_some(COME_BACK),
        }
    }
}

impl From<Whole> for Answer {
    fn from(whole: Whole) -> Answer {
        Answer::Reply {
            content: Content::Whole(whole.body),
            headers: whole.headers,
            status: whole.status,
        }
    }
}

async fn whole(reply: &mut Reply) -> Result<Bytes, Failure> {
    let mut body = Vec::new();
    while let Some(piece) = reply.body.next().await {
        body.extend_from_slice(&piece?);
        if body.len() > WHOLE_BYTES {
            return Err(Failure::Broken);
        }
    }
    Ok(Bytes::from(body))
}
