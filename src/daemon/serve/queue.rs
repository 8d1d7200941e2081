use std::sync::Mutex;
use std::time::Duration;

use async_channel::Sender;

use crate::daemon::state::{lock, State};
use crate::error::Error;
use crate::gang::Holds;
use crate::id::{AttemptId, TargetId};
use crate::target::{Dispatch, Load, Refusal, Request, Scheduler};
use crate::wire::Hold;

/// What the queue tells the task of a request.
#[derive(Clone, Debug)]
pub(crate) enum Notice {
    /// A chunk of it is to be sent to the target now.
    Dispatch(Dispatch),
    /// Its deadline passed in the queue.
    Expired,
    /// This instance does not dispatch new work to the target; the request has to be routed again.
    Moved,
}

/// Queue of one target: its scheduler, the tasks that wait and the memory reservations.
pub(crate) struct Queue {
    inner: Mutex<Inner>,
    target: TargetId,
}

struct Inner {
    /// Whether the target's streams have been read since this instance became its owner.
    inspected: bool,
    /// Handles that parts of gangs import, sorted by part.
    contexts: Vec<Context>,
    holds: Holds,
    /// Unused handles at the last call of [`Queue::orphans`], sorted.
    orphans: Vec<AttemptId>,
    scheduler: Scheduler,
    /// Whether records and instance list allow new work for the target.
    in_service: bool,
    /// Sorted by attempt.
    waiters: Vec<Waiter>,
}

struct Context {
    handles: Vec<AttemptId>,
    part: AttemptId,
}

struct Waiter {
    attempt: AttemptId,
    sender: Sender<Notice>,
}

impl Inner {
    fn find(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.waiters
            .binary_search_by_key(&attempt, |waiter| waiter.attempt)
    }

    /// Whether a request or a reservation uses the stream or handle.
    fn uses(&self, id: AttemptId) -> bool {
        self.find(id).is_ok()
            || self.holds.orphans(&[id]).is_empty()
            || self
                .contexts
                .iter()
                .any(|context| context.handles.contains(&id))
    }

    /// Frees the memory of a part in the scheduler and returns its handles: its own and those that it imported.
    fn free_part(&mut self, part: AttemptId) -> Vec<AttemptId> {
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

    fn notify(&mut self, attempt: AttemptId, notice: Notice) -> bool {
        self.find(attempt)
            .is_ok_and(|index| self.waiters[index].sender.try_send(notice).is_ok())
    }
}

impl Queue {
    pub(crate) fn new(target: TargetId, state: &State) -> Self {
        let scheduler = Scheduler::new(state.settings.queue.target(), state.clock.now());
        Self {
            inner: Mutex::new(Inner {
                inspected: false,
                contexts: Vec::new(),
                holds: Holds::default(),
                orphans: Vec::new(),
                scheduler,
                in_service: true,
                waiters: Vec::new(),
            }),
            target,
        }
    }

    /// Applies `change` to the scheduler and dispatches what is ready after it.
    pub(crate) fn update<T>(
        &self,
        state: &State,
        change: impl FnOnce(&mut Scheduler, Duration) -> T,
    ) -> T {
        let result = change(&mut lock(&self.inner).scheduler, state.clock.now());
        self.dispatch_ready(state);
        result
    }

    /// Queues a request; its notices go to `sender`.
    pub(crate) fn offer(
        &self,
        state: &State,
        request: Request,
        sender: Sender<Notice>,
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
        self.dispatch_ready(state);
        Ok(())
    }

    /// Removes a request from the waiters and from the scheduler.
    pub(crate) fn remove(&self, state: &State, attempt: AttemptId) {
        let mut inner = lock(&self.inner);
        inner.scheduler.cancel(attempt, state.clock.now());
        if let Ok(index) = inner.find(attempt) {
            inner.waiters.remove(index);
        }
        drop(inner);
        self.dispatch_ready(state);
    }

    /// Expires requests past their deadlines and dispatches everything that is ready.
    pub(crate) fn dispatch_ready(&self, state: &State) {
        // Lock order: the ownership table before the queue, as when a grant counts the requests in flight. The opposite
        // order could deadlock with a grant. The table stays locked, so that no grant misses a dispatch.
        let ownership = lock(&state.ownership);
        let mut inner = lock(&self.inner);
        let now = state.clock.now();
        for attempt in inner.scheduler.expire(now) {
            inner.notify(attempt, Notice::Expired);
        }
        if !state.in_service(&self.target) {
            return;
        }
        if state.uses_ownership() && !(inner.inspected && ownership.may_dispatch(&self.target, now))
        {
            return;
        }
        while let Some(dispatch) = inner.scheduler.next(now) {
            let attempt = dispatch.request;
            if !inner.notify(attempt, Notice::Dispatch(dispatch)) {
                inner.scheduler.cancel(attempt, now);
            }
        }
    }

    /// Returns queued requests to their tasks to be routed again, also those between two chunks. Requests that run at
    /// the target stay.
    pub(crate) fn evict(&self, state: &State) -> usize {
        let mut inner = lock(&self.inner);
        let evicted = inner.scheduler.evict(state.clock.now());
        for attempt in &evicted {
            inner.notify(*attempt, Notice::Moved);
        }
        evicted.len()
    }

    /// Forgets all reservations without dropping their handles. The next owner takes each over with its next renewal
    /// and drops the handles that are not renewed.
    pub(crate) fn forget_holds(&self) {
        let mut inner = lock(&self.inner);
        let parts: Vec<AttemptId> = inner
            .holds
            .holds()
            .iter()
            .map(|hold| hold.request)
            .collect();
        for part in parts {
            inner.holds.release(part);
            inner.free_part(part);
        }
    }

    /// Sets whether the target's streams have been read since this instance became its owner.
    pub(crate) fn set_inspected(&self, inspected: bool) {
        lock(&self.inner).inspected = inspected;
    }

    /// Passes the boot number and the cold flag of a target's reply on to the scheduler.
    pub(crate) fn observe_reply(&self, state: &State, boot: Option<u64>, cold: Option<bool>) {
        self.update(state, |scheduler, now| {
            if let Some(boot) = boot {
                scheduler.observe_boot(boot, now);
            }
            if let Some(cold) = cold {
                scheduler.report_cold(cold, now);
            }
        });
    }

    /// Sets whether new work is allowed for the target; returns whether it has just become so.
    pub(crate) fn set_in_service(&self, in_service: bool) -> bool {
        let before = std::mem::replace(&mut lock(&self.inner).in_service, in_service);
        in_service && !before
    }

    /// Makes or renews the reservation of a part; false if there is not enough free memory.
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

    /// Releases the reservation of a part and returns the handles to drop.
    pub(crate) fn release(&self, state: &State, part: AttemptId) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        inner.holds.release(part);
        let handles = inner.free_part(part);
        drop(inner);
        self.dispatch_ready(state);
        handles
    }

    /// Releases reservations that were not renewed in time and returns the handles to drop.
    pub(crate) fn expire_holds(&self, state: &State) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        let expired = inner.holds.expire(state.clock.now());
        if expired.is_empty() {
            return expired;
        }
        let handles = expired
            .into_iter()
            .flat_map(|part| inner.free_part(part))
            .collect();
        drop(inner);
        self.dispatch_ready(state);
        handles
    }

    /// Returns those of `handles` that nothing here uses, both now and at the previous call.
    pub(crate) fn orphans(&self, handles: &[AttemptId]) -> Vec<AttemptId> {
        let mut inner = lock(&self.inner);
        let mut unused = handles.to_vec();
        unused.retain(|handle| !inner.uses(*handle));
        unused.sort_unstable();
        let before = std::mem::replace(&mut inner.orphans, unused.clone());
        unused.retain(|handle| before.binary_search(handle).is_ok());
        unused
    }

    /// Whether a request or a reservation here uses the stream or handle.
    pub(crate) fn uses(&self, id: AttemptId) -> bool {
        lock(&self.inner).uses(id)
    }

    /// Whether any request is queued or running.
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

/// Makes the error for a request that the scheduler refused.
pub(crate) fn refusal_error(target: &str, refusal: Refusal) -> Error {
    let message = format!("`{target}` cannot accept the request now");
    Error::new(refusal.kind, message).with_retry_after(refusal.retry_after)
}
