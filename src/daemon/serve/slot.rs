use std::sync::Mutex;
use std::time::Duration;

use async_channel::Sender;

use crate::daemon::state::{lock, State};
use crate::error::Error;
use crate::gang::Holds;
use crate::id::{AttemptId, TargetId};
use crate::target::{Dispatch, Load, Refusal, Request, Scheduler};
use crate::wire::Hold;

/// What a queued request is told.
#[derive(Clone, Debug)]
pub(crate) enum Turn {
    /// It is its turn.
    Dispatch(Dispatch),
    /// Its deadline passed in the queue.
    Expired,
    /// The target takes no new work here.
    Moved,
}

/// Queue and accounts of one target.
pub(crate) struct Slot {
    inner: Mutex<Inner>,
    target: TargetId,
}

struct Inner {
    /// Whether the target's streams were read since this instance became its owner.
    checked: bool,
    /// Handles that parts of gangs imported, sorted by part.
    contexts: Vec<Context>,
    holds: Holds,
    orphans: Vec<AttemptId>,
    scheduler: Scheduler,
    /// Whether records and instance list let the target take new work.
    serving: bool,
    waiters: Vec<Waiter>,
}

struct Context {
    handles: Vec<AttemptId>,
    part: AttemptId,
}

struct Waiter {
    attempt: AttemptId,
    sender: Sender<Turn>,
}

impl Inner {
    fn find(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.waiters
            .binary_search_by_key(&attempt, |waiter| waiter.attempt)
    }

    /// Whether a request or a reservation uses the stream or handle.
    fn claims(&self, id: AttemptId) -> bool {
        self.find(id).is_ok()
            || self.holds.orphans(&[id]).is_empty()
            || self
                .contexts
                .iter()
                .any(|context| context.handles.contains(&id))
    }

    /// Removes what a part imported, and returns its handles with the part's own.
    fn close(&mut self, part: AttemptId) -> Vec<AttemptId> {
        self.scheduler.release(part);
        let mut handles = vec![part];
        if let Ok(index) = self.find_context(part) {
            handles.append(&mut self.contexts.remove(index).handles);
        }
        handles
    }

    fn find_context(&self, part: AttemptId) -> Result<usize, usize> {
        self.contexts
            .binary_search_by_key(&part, |context| context.part)
    }

    fn tell(&mut self, attempt: AttemptId, turn: Turn) -> bool {
        self.find(attempt)
            .is_ok_and(|index| self.waiters[index].sender.try_send(turn).is_ok())
    }
}

impl Slot {
    pub(crate) fn new(target: TargetId, state: &State) -> Self {
        let scheduler = Scheduler::new(state.settings.queue.target(), state.clock.now());
        Self {
            inner: Mutex::new(Inner {
                checked: false,
                contexts: Vec::new(),
                holds: Holds::default(),
                orphans: Vec::new(),
                scheduler,
                serving: true,
                waiters: Vec::new(),
            }),
            target,
        }
    }

    /// Runs `change` on the scheduler and dispatches what may go out after it.
    pub(crate) fn update<T>(
        &self,
        state: &State,
        change: impl FnOnce(&mut Scheduler, Duration) -> T,
    ) -> T {
        let result = change(&mut lock(&self.inner).scheduler, state.clock.now());
        self.pump(state);
        result
    }

    /// Queues a request; its turns go to `sender`.
    pub(crate) fn offer(
        &self,
        state: &State,
        request: Request,
        sender: Sender<Turn>,
    ) -> Result<(), Refusal> {
        let now = state.clock.now();
        let mut inner = lock(&self.inner);
        let attempt = request.id;
        inner.scheduler.offer(request, now)?;
        let waiter = Waiter { attempt, sender };
        match inner.find(attempt) {
            Ok(index) => inner.waiters[index] = waiter,
            Err(index) => inner.waiters.insert(index, waiter),
        }
        drop(inner);
        self.pump(state);
        Ok(())
    }

    /// Removes a waiter and whatever the scheduler still has of it.
    pub(crate) fn abandon(&self, state: &State, attempt: AttemptId) {
        let mut inner = lock(&self.inner);
        inner.scheduler.cancel(attempt, state.clock.now());
        if let Ok(index) = inner.find(attempt) {
            inner.waiters.remove(index);
        }
        drop(inner);
        self.pump(state);
    }

    /// Dispatches everything that may go out now.
    pub(crate) fn pump(&self, state: &State) {
        // Ownership is locked before the queue, as when a grant counts what is in flight: two threads that take the two
        // in different orders wait for each other for good. It stays locked, so that no grant misses a dispatch.
        let owner = lock(&state.owner);
        let mut inner = lock(&self.inner);
        let now = state.clock.now();
        for attempt in inner.scheduler.expire(now) {
            inner.tell(attempt, Turn::Expired);
        }
        if !state.in_service(&self.target) {
            return;
        }
        if state.owned() && !(inner.checked && owner.may_dispatch(&self.target, now)) {
            return;
        }
        while let Some(dispatch) = inner.scheduler.next(now) {
            let attempt = dispatch.request;
            if !inner.tell(attempt, Turn::Dispatch(dispatch)) {
                inner.scheduler.cancel(attempt, now);
            }
        }
    }

    /// Sends queued work away, also what waits between two chunks; work at the target stays.
    pub(crate) fn evict(&self, state: &State) -> usize {
        let mut inner = lock(&self.inner);
        let evicted = inner.scheduler.evict(state.clock.now());
        for attempt in &evicted {
            inner.tell(*attempt, Turn::Moved);
        }
        evicted.len()
    }

    /// Gives all reservations up without dropping their handles: the next owner takes them over with the next renewal,
    /// or drops what is not renewed.
    pub(crate) fn hand_over(&self) {
        let mut inner = lock(&self.inner);
        let parts: Vec<AttemptId> = inner
            .holds
            .holds()
            .iter()
            .map(|hold| hold.request)
            .collect();
        for part in parts {
            inner.holds.release(part);
            inner.close(part);
        }
    }

    /// Notes whether the target's streams were read since this instance became its owner.
    pub(crate) fn set_checked(&self, checked: bool) {
        lock(&self.inner).checked = checked;
    }

    /// Takes what a reply of the target says about its boot and its temperature.
    pub(crate) fn set_warmth(&self, state: &State, boot: Option<u64>, cold: Option<bool>) {
        self.update(state, |scheduler, now| {
            if let Some(boot) = boot {
                scheduler.observe_boot(boot, now);
            }
            if let Some(cold) = cold {
                scheduler.report_cold(cold, now);
            }
        });
    }

    /// Notes whether the target may take new work; true if it may again.
    pub(crate) fn set_serving(&self, serving: bool) -> bool {
        let before = std::mem::replace(&mut lock(&self.inner).serving, serving);
        serving && !before
    }

    /// Takes or renews the reservation of a part; false if there is no room.
    pub(crate) fn hold(&self, state: &State, hold: &Hold) -> bool {
        let now = state.clock.now();
        let until = now + super::hold::HOLD_LIFETIME;
        let mut inner = lock(&self.inner);
        if inner.holds.renew(hold.part, until) {
            return true;
        }
        if !inner.scheduler.hold(hold.part, hold.tokens, now) {
            return false;
        }
        inner.holds.hold(hold.part, hold.tokens, until);
        if let Err(index) = inner.find_context(hold.part) {
            let context = Context {
                handles: hold.context.clone(),
                part: hold.part,
            };
            inner.contexts.insert(index, context);
        }
        true
    }

    /// Gives the reservation of a part back and returns the handles to drop.
    pub(crate) fn release(&self, state: &State, part: AttemptId) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        inner.holds.release(part);
        let handles = inner.close(part);
        drop(inner);
        self.pump(state);
        handles
    }

    /// Gives back reservations that were not renewed and returns the handles to drop.
    pub(crate) fn expire_holds(&self, state: &State) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        let expired = inner.holds.expire(state.clock.now());
        if expired.is_empty() {
            return expired;
        }
        let handles = expired
            .into_iter()
            .flat_map(|part| inner.close(part))
            .collect();
        drop(inner);
        self.pump(state);
        handles
    }

    /// Handles that nothing here claims, now and at the reading before.
    pub(crate) fn orphans(&self, handles: &[AttemptId]) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        let mut unclaimed = handles.to_vec();
        unclaimed.retain(|handle| !inner.claims(*handle));
        unclaimed.sort_unstable();
        let before = std::mem::replace(&mut inner.orphans, unclaimed.clone());
        unclaimed.retain(|handle| before.binary_search(handle).is_ok());
        unclaimed
    }

    /// Whether a request or a reservation here uses the stream or handle.
    pub(crate) fn claims(&self, id: AttemptId) -> bool {
        lock(&self.inner).claims(id)
    }

    pub(crate) fn is_busy(&self) -> bool {
        !lock(&self.inner).waiters.is_empty()
    }

    pub(crate) fn load(&self, now: Duration) -> Load {
        lock(&self.inner).scheduler.load(now)
    }

    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }
}

/// The error for a request that the scheduler refused.
pub(crate) fn refused(target: &str, refusal: Refusal) -> Error {
    let message = format!("`{target}` cannot take the request now");
    Error::new(refusal.kind, message).with_retry_after(refusal.retry_after)
}
