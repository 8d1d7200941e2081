use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use jujubehook_http::Client;

use super::loads::Loads;
use super::once::Claims;
use super::serve::Queue;
use crate::clock::Clock;
use crate::error::{Error, Kind};
use crate::event::Source;
use crate::id::{Incarnation, InstanceId, TargetId};
use crate::metric::{Channel, Registry};
use crate::owner;
use crate::record::Fold;
use crate::remote::{self, Listing, Log, Member, Role};
use crate::retry::{Budget, Outliers};
use crate::route::{self, Policy};
use crate::settings::Settings;

/// Retries allowed per first attempt.
const RETRY_SHARE: f64 = 0.2;

/// Retries that may accumulate, so that one failing target does not use up the budget of an instance with little load.
const RETRY_BURST: f64 = 50.0;

/// State that the tasks of one daemon share.
pub(crate) struct State {
    pub(crate) budget: Mutex<Budget>,
    pub(crate) client: Client,
    pub(crate) claims: Claims,
    pub(crate) clock: Arc<Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) loads: Mutex<Loads>,
    pub(crate) log: Log,
    pub(crate) metrics: Registry,
    pub(crate) outliers: Mutex<Outliers>,
    pub(crate) ownership: Mutex<owner::Table>,
    pub(crate) policy: Mutex<Box<dyn Policy>>,
    pub(crate) settings: Settings,
    pub(crate) source: Source,
    /// Requests in progress.
    active: AtomicUsize,
    /// Why records of the log cannot be applied, if so.
    alarm: Mutex<Option<String>>,
    /// Bytes of the bodies of all requests in progress.
    bodies: AtomicUsize,
    controller: AtomicBool,
    fold: RwLock<Arc<Fold>>,
    leaving: AtomicBool,
    listing: RwLock<Arc<Listing>>,
    /// Whether targets have owners under the routing policy in use.
    uses_ownership: bool,
    /// Sorted by target.
    queues: RwLock<Vec<Arc<Queue>>>,
    /// Whether any records have been loaded.
    synced: AtomicBool,
}

/// Counts a request and the bytes of its body as in progress until dropped.
pub(crate) struct Admission {
    bytes: usize,
    state: Arc<State>,
}

impl Admission {
    /// Counts more bytes of the body; an error if the bodies of all requests exceed the limit of the settings.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        self.bytes += bytes;
        let before = self.state.bodies.fetch_add(bytes, Ordering::AcqRel);
        if before + bytes <= self.state.settings.limits.memory_bytes {
            return Ok(());
        }
        let message = "the bodies of the requests in progress have reached the memory limit";
        Err(Error::new(Kind::Overloaded, message))
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.state.active.fetch_sub(1, Ordering::AcqRel);
        self.state.bodies.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl State {
    pub(crate) fn new(settings: Settings, clock: Arc<Clock>) -> Result<Self, Error> {
        let incarnation = random_id();
        let policy = route::policy(&settings.policy, settings.queue.packing)?;
        let network = &settings.network;
        let metrics =
            Registry::new().map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let table = owner::Table::new(
            settings.instance.clone(),
            incarnation,
            owner::Settings {
                lease: network.lease,
                margin: network.margin,
                pause: network.pause,
                suspicion: network.suspicion,
                ..Default::default()
            },
            clock.now(),
        );
        Ok(Self {
            active: AtomicUsize::new(0),
            alarm: Mutex::default(),
            bodies: AtomicUsize::new(0),
            controller: AtomicBool::new(false),
            budget: Mutex::new(Budget::new(RETRY_SHARE, RETRY_BURST)),
            claims: Claims::new(&settings.instance, incarnation),
            client: Client::metered(metrics.traffic(Channel::Target).clone()),
            fold: RwLock::default(),
            incarnation,
            leaving: AtomicBool::new(false),
            listing: RwLock::default(),
            loads: Mutex::default(),
            log: Log::new(network.log, remote::Settings::default())
                .metered(metrics.traffic(Channel::Log).clone()),
            metrics,
            outliers: Mutex::default(),
            uses_ownership: policy.uses_owner(),
            ownership: Mutex::new(table),
            policy: Mutex::new(policy),
            queues: RwLock::default(),
            source: Source::new(clock.clone(), &settings.instance, &settings.domain),
            synced: AtomicBool::new(false),
            clock,
            settings,
        })
    }

    /// Counts one more request in progress; an error beyond the limit of the settings.
    pub(crate) fn admit(self: &Arc<Self>) -> Result<Admission, Error> {
        let before = self.active.fetch_add(1, Ordering::AcqRel);
        let admission = Admission {
            bytes: 0,
            state: self.clone(),
        };
        if before >= self.settings.limits.requests {
            let message = "the number of requests in progress has reached its limit";
            return Err(
                Error::new(Kind::Overloaded, message).with_retry_after(Duration::from_secs(1))
            );
        }
        Ok(admission)
    }

    /// Marks this instance as leaving.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Makes a fold the one in force and returns true, unless the current one has a higher offset.
    pub(crate) fn set_fold(&self, fold: Fold) -> bool {
        let mut current = self.fold.write().unwrap_or_else(PoisonError::into_inner);
        if fold.offset() < current.offset() {
            return false;
        }
        *current = Arc::new(fold);
        self.synced.store(true, Ordering::Release);
        true
    }

    pub(crate) fn set_alarm(&self, alarm: Option<String>) {
        *lock(&self.alarm) = alarm;
    }

    pub(crate) fn set_controller(&self, controller: bool) {
        self.controller.store(controller, Ordering::Release);
    }

    pub(crate) fn set_listing(&self, listing: Listing) {
        *self.listing.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(listing);
    }

    /// Returns the queue of a target and creates it if necessary.
    pub(crate) fn queue(&self, target: &TargetId) -> Arc<Queue> {
        if let Some(queue) = self.existing_queue(target) {
            return queue;
        }
        let mut queues = self.queues.write().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|queue| queue.target().cmp(target)) {
            Ok(index) => queues[index].clone(),
            Err(index) => {
                let queue = Arc::new(Queue::new(target.clone(), self));
                queues.insert(index, queue.clone());
                queue
            }
        }
    }

    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    pub(crate) fn alarm(&self) -> Option<String> {
        lock(&self.alarm).clone()
    }

    pub(crate) fn address(&self, target: &TargetId) -> Result<SocketAddr, Error> {
        self.listing()
            .member(target)
            .map(|member| member.address)
            .ok_or_else(|| Error::new(Kind::Moved, format!("`{target}` is not listed any more")))
    }

    pub(crate) fn existing_queue(&self, target: &TargetId) -> Option<Arc<Queue>> {
        let queues = self.queues.read().unwrap_or_else(PoisonError::into_inner);
        queues
            .binary_search_by(|queue| queue.target().cmp(target))
            .ok()
            .map(|index| queues[index].clone())
    }

    pub(crate) fn fold(&self) -> Arc<Fold> {
        self.fold
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn is_controller(&self) -> bool {
        self.controller.load(Ordering::Acquire)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether load balancers should send callers here: configuration and instance list are loaded, the domain is in
    /// service, and this instance is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_synced()
            && !self.is_leaving()
            && !self.listing().instances.is_empty()
            && self.fold().domain_in_service(&self.settings.domain)
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Acquire)
    }

    pub(crate) fn listing(&self) -> Arc<Listing> {
        self.listing
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether this instance may send work to the target at this moment.
    pub(crate) fn may_dispatch(&self, target: &TargetId) -> bool {
        if !self.in_service(target) {
            return false;
        }
        !self.uses_ownership || lock(&self.ownership).may_dispatch(target, self.clock.now())
    }

    /// Whether records and instance list allow new work for the target.
    pub(crate) fn in_service(&self, target: &TargetId) -> bool {
        let listing = self.listing();
        let Some(member) = listing.member(target) else {
            return false;
        };
        takes_work(&self.fold(), member)
    }

    /// Whether targets have owners under the routing policy in use.
    pub(crate) fn uses_ownership(&self) -> bool {
        self.uses_ownership
    }

    /// Number of targets of the own domain that this instance dispatches to.
    pub(crate) fn owned_targets(&self) -> usize {
        let now = self.clock.now();
        let targets = self.targets();
        let ownership = lock(&self.ownership);
        targets
            .iter()
            .filter(|target| ownership.may_dispatch(target, now))
            .count()
    }

    /// Other instances of the own domain, as listed.
    pub(crate) fn peers(&self) -> Vec<Member> {
        self.instances(&self.settings.domain)
            .into_iter()
            .filter(|member| member.id != self.settings.instance)
            .collect()
    }

    /// Instances of a domain, as listed.
    pub(crate) fn instances(&self, domain: &str) -> Vec<Member> {
        self.listing()
            .instances
            .iter()
            .filter(|member| member.role == Role::Instance && member.domain == domain)
            .cloned()
            .collect()
    }

    /// The instance to which work for the target is sent; `None` if it is this one.
    pub(crate) fn route(&self, target: &TargetId, hops: u8) -> Result<Option<Member>, Error> {
        if !self.uses_ownership {
            return Ok(None);
        }
        let listing = self.listing();
        let member = listing
            .member(target)
            .ok_or_else(|| Error::new(Kind::Moved, format!("`{target}` is not listed any more")))?;
        let owner = if member.domain == self.settings.domain {
            lock(&self.ownership).owner(target, self.clock.now())
        } else {
            self.remote_owner(target, &member.domain)
        };
        let owner =
            owner.ok_or_else(|| Error::new(Kind::Moved, format!("`{target}` has no owner now")))?;
        if owner == self.settings.instance {
            return Ok(None);
        }
        if hops >= super::HOP_LIMIT {
            return Err(Error::new(
                Kind::Moved,
                format!("`{target}` has another owner"),
            ));
        }
        let member = listing
            .member(&owner)
            .ok_or_else(|| Error::new(Kind::Moved, format!("`{owner}` is not listed any more")))?;
        Ok(Some(member.clone()))
    }

    pub(crate) fn queues(&self) -> Vec<Arc<Queue>> {
        self.queues
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Listed targets of the own domain, sorted.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        self.listing()
            .instances
            .iter()
            .filter(|member| member.role != Role::Instance && member.domain == self.settings.domain)
            .map(|member| member.id.clone())
            .collect()
    }

    /// The likely owner of a target in another domain; an instance there that is not the owner forwards the work.
    fn remote_owner(&self, target: &TargetId, domain: &str) -> Option<InstanceId> {
        let pool: Vec<InstanceId> = self
            .instances(domain)
            .into_iter()
            .filter(|member| member.state == remote::State::Live)
            .map(|member| member.id)
            .collect();
        let ejected = lock(&self.outliers).ejected_among(&pool, self.clock.now());
        let usable: Vec<InstanceId> = pool
            .into_iter()
            .filter(|instance| !ejected.contains(instance))
            .collect();
        owner::candidate(target, &usable)
    }
}

/// Locks a mutex, also one that is poisoned: its data stays usable after a panic of another holder.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the records and the member's listed state allow new work for a target.
pub(crate) fn takes_work(fold: &Fold, member: &Member) -> bool {
    member.state == remote::State::Live
        && fold.domain_in_service(&member.domain)
        && !fold.target(&member.id).is_some_and(|record| record.leaving)
}

/// A random id that other parties cannot guess.
pub(crate) fn random_id() -> u64 {
    // If the operating system's random source fails, ids can be guessed, but fastrand keeps them distinct.
    getrandom::u64().unwrap_or_else(|_| fastrand::u64(..))
}
