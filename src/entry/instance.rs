use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::LocalExecutor;

use super::hedge::Hedging;
use super::held::{Held, Uploads};
use super::permits::Permits;
use super::platform::{Decoder, Log, Notice, Targets, Topic};
use super::{
    Budgets, ColdLimiter, Config, Directory, Engine, Fold, Health, Load, Members, Metrics, Pauses,
    Quarantine, Reachability, Service, Settings, Slowdowns, Target, TargetKey, View,
};
use crate::clock::Clock;
use crate::error::Kind;
use crate::event;
use crate::event::Source;
use crate::id::Incarnation;

/// Shortest retry time of a caller that is refused at the limit on held bytes: a slow caller takes about as long to read
/// what is held for it.
const HELD_RETRY: Duration = Duration::from_secs(1);

/// An entry instance: its state, and its connections to the platform.
pub struct Instance {
    /// Times at which the current eras of the topics became known.
    pub(super) adopted: Cell<[Duration; 3]>,
    pub(super) budgets: RefCell<Budgets>,
    pub(super) clock: Arc<Clock>,
    pub(super) cold_limiter: RefCell<ColdLimiter>,
    pub(super) config: RefCell<Option<Rc<Config>>>,
    pub(super) decoder: Box<dyn Decoder>,
    pub(super) directory: RefCell<Directory>,
    /// Closed when requests in progress have to end; no value is ever sent.
    ending: (Sender<Infallible>, Receiver<Infallible>),
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) folds: RefCell<[Fold; 3]>,
    pub(super) health: RefCell<Health>,
    pub(super) hedging: RefCell<Hedging>,
    heartbeat_requests: (Sender<()>, Receiver<()>),
    pub(super) held: Rc<Held>,
    /// Topics of which another instance has to be asked once what is not in the log.
    pub(super) must_ask: Cell<[bool; 3]>,
    /// Topics that have to be read from the log once, because other instances did not pass them on.
    pub(super) must_read: Cell<[bool; 3]>,
    /// Topics that are read from the log with success.
    pub(super) reads: Cell<[bool; 3]>,
    pub(super) incarnation: Incarnation,
    pub(super) members: RefCell<Members>,
    pub(super) pauses: RefCell<Pauses>,
    pub(super) permits: Permits,
    pub(super) slowdowns: RefCell<Slowdowns>,
    /// Metrics.
    pub metrics: Metrics,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) reachability: RefCell<Reachability>,
    /// Number of the last heartbeat or update.
    pub(super) sequence: Cell<u64>,
    pub(super) settings: RefCell<Settings>,
    sync_requests: (Sender<()>, Receiver<()>),
    pub(super) source: Source,
    pub(super) refusing: Cell<bool>,
    pub(super) stopping: Cell<bool>,
    tickets: Cell<u64>,
    pub(super) uploads: Uploads,
    pub(super) log: Rc<dyn Log>,
    pub(super) targets: Rc<dyn Targets>,
    pub(super) view: RefCell<View>,
}

impl Instance {
    /// An instance without any state.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(
        settings: Settings,
        executor: Rc<LocalExecutor<'static>>,
        decoder: Box<dyn Decoder>,
        log: Rc<dyn Log>,
        targets: Rc<dyn Targets>,
    ) -> prometheus::Result<Rc<Instance>> {
        let clock = Arc::new(Clock::new());
        let budgets = Budgets::new(
            settings.budget_ratio,
            settings.budget_slack,
            settings.budget_window,
        );
        let metrics = Metrics::new()?;
        Ok(Rc::new(Instance {
            adopted: Cell::default(),
            budgets: RefCell::new(budgets),
            cold_limiter: RefCell::default(),
            config: RefCell::default(),
            decoder,
            directory: RefCell::default(),
            ending: async_channel::bounded(1),
            executor,
            folds: RefCell::default(),
            health: RefCell::default(),
            hedging: RefCell::default(),
            heartbeat_requests: async_channel::bounded(1),
            held: Rc::new(Held::new(&metrics, &settings)),
            must_ask: Cell::default(),
            must_read: Cell::default(),
            reads: Cell::default(),
            incarnation: fastrand::u64(1..),
            members: RefCell::new(Members::new(&*settings.instance)),
            metrics,
            pauses: RefCell::default(),
            permits: Permits::default(),
            sequence: Cell::new(0),
            slowdowns: RefCell::default(),
            source: Source::new(clock.clone(), &*settings.instance, &*settings.domain),
            clock,
            quarantine: RefCell::default(),
            reachability: RefCell::default(),
            settings: RefCell::new(settings),
            sync_requests: async_channel::bounded(1),
            refusing: Cell::new(false),
            stopping: Cell::new(false),
            tickets: Cell::new(0),
            uploads: Uploads::default(),
            log,
            targets,
            view: RefCell::default(),
        }))
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Requests that a heartbeat is sent at once.
    pub(super) fn request_heartbeat(&self) {
        // If the channel is full, a heartbeat is about to be sent anyway.
        let _ = self.heartbeat_requests.0.try_send(());
    }

    /// Waits until a heartbeat is requested.
    pub(super) async fn heartbeat_requested(&self) {
        // The sender lives as long as the instance, so the channel is never closed.
        let _ = self.heartbeat_requests.1.recv().await;
    }

    /// Requests that the records of the instances are compared with the log.
    pub(super) fn request_sync(&self) {
        // If the channel is full, they are about to be compared anyway.
        let _ = self.sync_requests.0.try_send(());
    }

    /// Waits until the comparison of the instances' records is requested.
    pub(super) async fn sync_requested(&self) {
        // The sender lives as long as the instance, so the channel is never closed.
        let _ = self.sync_requests.1.recv().await;
    }

    /// Whether the instance accepts callers: configuration and targets are known, and the process is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.config.borrow().is_some() && self.knows(Topic::Targets)
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Ends the requests that have no answer yet, because the process is about to exit.
    pub(super) fn end_requests(&self) {
        self.ending.0.close();
    }

    /// Waits until requests in progress have to end.
    pub(super) async fn wait_for_end(&self) {
        // No value is ever sent; the channel is closed.
        let _ = self.ending.1.recv().await;
    }

    /// Whether callers are refused because the process is about to exit.
    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.get()
    }

    /// Replaces the settings. Addresses that are listened on, and the retry budgets, stay as they were at the start.
    pub fn reload(&self, settings: Settings) {
        self.held.set_limit(settings.held_max_bytes);
        *self.settings.borrow_mut() = settings;
        event!(self.source, "settings_reloaded");
    }

    /// What the instance holds for its callers.
    pub fn held(&self) -> &Rc<Held> {
        &self.held
    }

    /// Refuses a request before its body is read if the limit on held bytes is reached: the time after which the caller
    /// may retry, as none of the request has run.
    pub fn refuse_body(&self, id: &str) -> Option<Duration> {
        if self.held.has_room() {
            return None;
        }
        let now = self.clock.now();
        if self.held.take_line(now) {
            event!(
                warn,
                self.source,
                "held_limit",
                held_bytes = self.held.total(),
                max_bytes = self.held.limit()
            );
        }
        self.finish("none", id, now, Kind::Unavailable.name());
        // Callers that return at the same time would fill the memory again at once.
        Some(HELD_RETRY.mul_f64(1.0 + fastrand::f64() / 2.0))
    }

    /// The source of this instance's log lines.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// The usable targets of a service and their load, without the `tried` ones. Targets that reached the limit for
    /// cold targets are returned but admit no request. Suspected targets are returned only if `all` is set, those that
    /// pause never.
    pub(super) fn engines(&self, service: &Service, tried: &[TargetKey], all: bool) -> Vec<Engine> {
        let loads = self.view.borrow().loads(self.clock.now());
        self.engines_with(&loads, service, tried, all)
    }

    /// The same without those that are suspected, and without any load: an allocator knows it better.
    pub(super) fn engines_to_ask_for(&self, service: &Service, tried: &[TargetKey]) -> Vec<Engine> {
        self.engines_with(&[], service, tried, false)
    }

    /// The same without those that are suspected, and without the load of one of this instance's requests.
    pub(super) fn engines_without(
        &self,
        service: &Service,
        tried: &[TargetKey],
        number: u64,
    ) -> Vec<Engine> {
        let now = self.clock.now();
        let loads = self.view.borrow().loads_without(Some(number), now);
        self.engines_with(&loads, service, tried, false)
    }

    fn engines_with(
        &self,
        loads: &[(TargetKey, Load)],
        service: &Service,
        tried: &[TargetKey],
        all: bool,
    ) -> Vec<Engine> {
        let now = self.clock.now();
        let usable = self.directory.borrow().usable(&service.name, now);
        let settings = self.settings.borrow();
        let health = self.health.borrow();
        let pauses = self.pauses.borrow();
        let slowdowns = self.slowdowns.borrow();
        let reachability = self.reachability.borrow();
        let names = self.members.borrow().names();
        let mut engines: Vec<Engine> = Vec::with_capacity(usable.len());
        for target in usable {
            let key = target.key();
            let is_suspect =
                health.is_suspect(key, now) || reachability.is_unreachable(&target.domain);
            let is_paused = pauses.left(key, now).is_some();
            if (!all && is_suspect) || is_paused || tried.contains(&key) {
                continue;
            }
            let found = loads.binary_search_by_key(&key, |(known, _)| *known);
            let load = found.map_or(Load::default(), |at| loads[at].1);
            let share = match target.cold_until <= now {
                true => {
                    ColdLimiter::warm_share(settings.cold_bound(service.cold_per_s), names.len())
                }
                false => ColdLimiter::share(key, service.cold_per_s, &settings.instance, &names),
            };
            let can_be_cold = service.cold_per_s > 0.0;
            let admits = !can_be_cold || self.cold_limiter.borrow().has_room(key, share, now);
            engines.push(Engine {
                admits,
                key,
                load,
                local: target.domain == settings.domain,
                slowdown: slowdowns.factor(key, now),
                target,
            });
        }
        engines
    }

    /// Time until the first target of a service ends its pause; none if one does not pause, or if there is no target.
    pub(super) fn pause_left(&self, service: &Service) -> Option<Duration> {
        let now = self.clock.now();
        let pauses = self.pauses.borrow();
        let usable = self.directory.borrow().usable(&service.name, now);
        let left = |target: &Rc<Target>| pauses.left(target.key(), now).unwrap_or_default();
        let left = usable.iter().map(left).min()?;
        (!left.is_zero()).then_some(left)
    }

    /// Applies what a target stated about itself.
    pub(super) fn apply_notice(&self, target: &Target, notice: Notice) {
        let now = self.clock.now();
        if notice.leaving {
            let started = target.started_unix_ms;
            if self.directory.borrow_mut().leave(&target.id, started, now) {
                event!(
                    self.source,
                    "target_leaving",
                    target = target.id.as_str(),
                    from = "answer"
                );
                self.request_heartbeat();
            }
        }
        if let Some(time) = notice.pause {
            let is_new = self.pauses.borrow_mut().start(target.key(), time, now);
            if is_new {
                event!(
                    self.source,
                    "target_paused",
                    target = target.id.as_str(),
                    ms = time.as_millis() as u64
                );
            }
        }
    }

    /// Records that a target did not accept a connection in time.
    pub(super) fn mark_unreachable(&self, target: &Target) {
        let now = self.clock.now();
        self.health.borrow_mut().mark_unreachable(target.key(), now);
        if self
            .reachability
            .borrow_mut()
            .mark_unreachable(&target.domain, target.key(), now)
        {
            event!(
                warn,
                self.source,
                "domain_lost",
                of = target.domain.as_str()
            );
        }
    }

    /// Records that a target accepted a connection.
    pub(super) fn mark_reachable(&self, target: &Target) {
        self.health.borrow_mut().mark_reachable(target.key());
        if self
            .reachability
            .borrow_mut()
            .mark_reachable(&target.domain)
        {
            event!(self.source, "domain_regained", of = target.domain.as_str());
            let directory = self.directory.borrow();
            let mut health = self.health.borrow_mut();
            for other in directory
                .targets()
                .filter(|other| other.domain == target.domain)
            {
                health.mark_reachable(other.key());
            }
        }
    }

    /// A new ticket for reserved memory, unique over all instances.
    pub(super) fn next_ticket(&self) -> String {
        let number = self.tickets.get() + 1;
        self.tickets.set(number);
        format!("{:x}-{number:x}", self.incarnation)
    }

    /// Number of instances that share the retry budgets.
    pub(super) fn instances(&self) -> usize {
        self.members.borrow().list().len() + 1
    }

    /// Removes state that is too old to be used.
    pub(super) fn expire(&self, now: Duration) {
        self.view.borrow_mut().expire(now);
        self.directory.borrow_mut().expire(now);
        self.slowdowns.borrow_mut().expire(now);
        self.pauses.borrow_mut().expire(now);
        self.hedging.borrow_mut().times.expire(now);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.expire(now);
        let banned = quarantine.all_banned();
        self.metrics.banned_fragments.set(banned.len() as i64);
    }
}
