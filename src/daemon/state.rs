use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use jujubehook_http::Client;

use super::loads::Loads;
use super::once::Claims;
use super::serve::Slot;
use crate::clock::Clock;
use crate::error::{Error, Kind};
use crate::event::Source;
use crate::id::{Incarnation, InstanceId, TargetId};
use crate::metric::{Channel, Registry};
use crate::owner;
use crate::record::Fold;
use crate::remote::{self, Listing, Log, Member, Role};
use crate::retry::{Budget, OutlierDetector};
use crate::route::{self, Policy};
use crate::settings::Settings;

/// Retries that may follow on each first attempt.
const RETRY_SHARE: f64 = 0.2;

/// Retries that may be saved up, so that one failing target does not exhaust a quiet instance.
const RETRY_BURST: f64 = 50.0;

/// Everything that the tasks of one daemon share.
pub(crate) struct State {
    pub(crate) budget: Mutex<Budget>,
    pub(crate) client: Client,
    pub(crate) claims: Claims,
    pub(crate) clock: Arc<Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) loads: Mutex<Loads>,
    pub(crate) log: Log,
    pub(crate) metrics: Registry,
    pub(crate) outlier: Mutex<OutlierDetector>,
    pub(crate) owner: Mutex<owner::Table>,
    pub(crate) policy: Mutex<Box<dyn Policy>>,
    pub(crate) settings: Settings,
    pub(crate) source: Source,
    active: AtomicUsize,
    alarm: Mutex<Option<String>>,
    /// Bytes of the bodies of all requests in progress.
    bodies: AtomicUsize,
    controller: AtomicBool,
    fold: RwLock<Arc<Fold>>,
    leaving: AtomicBool,
    listing: RwLock<Arc<Listing>>,
    owned: bool,
    slots: RwLock<Vec<Arc<Slot>>>,
    synced: AtomicBool,
}

/// Counts a request and its body as in progress until it is dropped.
pub(crate) struct Active {
    bytes: usize,
    state: Arc<State>,
}

impl Active {
    /// Counts more bytes of the body, up to the limit of the settings.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        self.bytes += bytes;
        let before = self.state.bodies.fetch_add(bytes, Ordering::AcqRel);
        if before + bytes <= self.state.settings.limits.memory_bytes {
            return Ok(());
        }
        let message = "the instance holds as many bytes of requests as it may";
        Err(Error::new(Kind::Overloaded, message))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.active.fetch_sub(1, Ordering::AcqRel);
        self.state.bodies.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl State {
    pub(crate) fn new(settings: Settings, clock: Arc<Clock>) -> Result<Self, Error> {
        let incarnation = unguessable();
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
            outlier: Mutex::default(),
            owned: policy.uses_owner(),
            owner: Mutex::new(table),
            policy: Mutex::new(policy),
            slots: RwLock::default(),
            source: Source::new(clock.clone(), &settings.instance, &settings.domain),
            synced: AtomicBool::new(false),
            clock,
            settings,
        })
    }

    /// Counts one more request, up to the limit of the settings.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<Active, Error> {
        let before = self.active.fetch_add(1, Ordering::AcqRel);
        let active = Active {
            bytes: 0,
            state: self.clone(),
        };
        if before >= self.settings.limits.requests {
            let message = "the instance serves as many requests as it may";
            return Err(
                Error::new(Kind::Overloaded, message).with_retry_after(Duration::from_secs(1))
            );
        }
        Ok(active)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Puts a fold into force, unless one with a higher offset is in force already.
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

    /// Finds the slot of a target, or makes it.
    pub(crate) fn slot(&self, target: &TargetId) -> Arc<Slot> {
        if let Some(slot) = self.existing(target) {
            return slot;
        }
        let mut slots = self.slots.write().unwrap_or_else(PoisonError::into_inner);
        match slots.binary_search_by(|slot| slot.target().cmp(target)) {
            Ok(index) => slots[index].clone(),
            Err(index) => {
                let slot = Arc::new(Slot::new(target.clone(), self));
                slots.insert(index, slot.clone());
                slot
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

    pub(crate) fn existing(&self, target: &TargetId) -> Option<Arc<Slot>> {
        let slots = self.slots.read().unwrap_or_else(PoisonError::into_inner);
        slots
            .binary_search_by(|slot| slot.target().cmp(target))
            .ok()
            .map(|index| slots[index].clone())
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

    /// Whether callers should be sent here: configuration is known, the domain is in service, no shutdown.
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

    /// Whether work may be written to the target at this moment.
    pub(crate) fn may_dispatch(&self, target: &TargetId) -> bool {
        if !self.in_service(target) {
            return false;
        }
        !self.owned || lock(&self.owner).may_dispatch(target, self.clock.now())
    }

    /// Whether records and instance list let the target take new work.
    pub(crate) fn in_service(&self, target: &TargetId) -> bool {
        let listing = self.listing();
        let Some(member) = listing.member(target) else {
            return false;
        };
        takes_work(&self.fold(), member)
    }

    /// Whether targets have owners under the routing policy in use.
    pub(crate) fn owned(&self) -> bool {
        self.owned
    }

    /// Number of targets of the own domain that this instance dispatches to.
    pub(crate) fn owned_targets(&self) -> usize {
        let now = self.clock.now();
        let targets = self.targets();
        let owner = lock(&self.owner);
        targets
            .iter()
            .filter(|target| owner.may_dispatch(target, now))
            .count()
    }

    /// Other instances of the own domain by the instance list.
    pub(crate) fn peers(&self) -> Vec<Member> {
        self.entries(&self.settings.domain)
            .into_iter()
            .filter(|member| member.id != self.settings.instance)
            .collect()
    }

    /// Instances of a domain by the instance list.
    pub(crate) fn entries(&self, domain: &str) -> Vec<Member> {
        self.listing()
            .instances
            .iter()
            .filter(|member| member.role == Role::Instance && member.domain == domain)
            .cloned()
            .collect()
    }

    /// The instance to which work for the target is sent; `None` stands for this one.
    pub(crate) fn route(&self, target: &TargetId, hops: u8) -> Result<Option<Member>, Error> {
        if !self.owned {
            return Ok(None);
        }
        let listing = self.listing();
        let member = listing
            .member(target)
            .ok_or_else(|| Error::new(Kind::Moved, format!("`{target}` is not listed any more")))?;
        let owner = if member.domain == self.settings.domain {
            lock(&self.owner).owner(target, self.clock.now())
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

    pub(crate) fn slots(&self) -> Vec<Arc<Slot>> {
        self.slots
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Targets of the own domain by the instance list, sorted.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        self.listing()
            .instances
            .iter()
            .filter(|member| member.role != Role::Instance && member.domain == self.settings.domain)
            .map(|member| member.id.clone())
            .collect()
    }

    /// The likely owner in another domain; it forwards the work if its own view differs.
    fn remote_owner(&self, target: &TargetId, domain: &str) -> Option<InstanceId> {
        let pool: Vec<InstanceId> = self
            .entries(domain)
            .into_iter()
            .filter(|member| member.state == remote::State::Live)
            .map(|member| member.id)
            .collect();
        let ejected = lock(&self.outlier).ejected_among(&pool, self.clock.now());
        let usable: Vec<InstanceId> = pool
            .into_iter()
            .filter(|instance| !ejected.contains(instance))
            .collect();
        owner::candidate(target, &usable)
    }
}

/// Locks a mutex; a panic of another holder does not make its data unusable.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a record and the member's state let a listed target take new work.
pub(crate) fn takes_work(fold: &Fold, member: &Member) -> bool {
    member.state == remote::State::Live
        && fold.domain_in_service(&member.domain)
        && !fold.target(&member.id).is_some_and(|record| record.leaving)
}

/// An id that other parties cannot guess.
pub(crate) fn unguessable() -> u64 {
    // Without the operating system's random source no id is safe; fastrand then still keeps ids distinct.
    getrandom::u64().unwrap_or_else(|_| fastrand::u64(..))
}
