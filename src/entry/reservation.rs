use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use smol::{Task, Timer};

use super::platform::Presence;
use super::{Instance, Target};
use crate::event;

/// Time for which a reservation lasts unless it is renewed. Memory that stays reserved for four seconds after its
/// request counts as leaked; this time stays below that if the instance dies or a call to the engine is delayed.
const LEASE: Duration = Duration::from_millis(3_500);

/// Time between two renewals. A process may be silent for the rest of the lease, less the time until it is asked again.
/// Renewals are few, because each may be carried out after the release.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// Pause before an unanswered renewal is repeated; several repeats fit in before the reservation ends.
const RENEW_RETRY: Duration = Duration::from_millis(400);

/// Time after which memory that no request has used counts as stuck.
const MAX_UNUSED: Duration = Duration::from_secs(9);

/// Pause before an unanswered question to the process that got a request is repeated, so that a process that was silent
/// is heard before its memory expires.
const QUESTION_RETRY: Duration = Duration::from_millis(100);

/// Age up to which an event proves that its request runs, so that the process is not asked. Memory outlives its request by
/// this time and one lease.
const MAX_EVENT_AGE: Duration = Duration::from_millis(400);

/// Time between two releases while earlier calls are unanswered.
const RELEASE_RETRY: Duration = Duration::from_millis(1_500);

/// Maximum delay after which an unanswered call may still be carried out.
const MAX_CALL_DELAY: Duration = Duration::from_millis(12_500);

/// Why a request cannot go on with its memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// A reservation could not be renewed before it ended.
    Expired,
    /// The process that got the request is gone.
    TargetGone,
    /// The request has not begun to use it in time.
    Unused,
}

impl Loss {
    /// Name in logs.
    const fn name(self) -> &'static str {
        match self {
            Loss::Expired => "expired",
            Loss::TargetGone => "target_gone",
            Loss::Unused => "unused",
        }
    }
}

/// Memory that is reserved at engines for one request; released on drop. It is renewed only after the process that got
/// the request has answered, so it never outlives the request by more than its lease.
pub(super) struct Memory {
    instance: Rc<Instance>,
    /// Gets the reason if the memory is lost.
    loss: Receiver<Loss>,
    renewal: Option<Task<()>>,
    reservations: Vec<Rc<Reservation>>,
    /// Time of the last event of the request, if any.
    last_event: Rc<Cell<Option<Duration>>>,
}

/// Memory at one engine.
struct Reservation {
    /// Start of the last call that reserved it.
    confirmed: Cell<Duration>,
    target: Rc<Target>,
    ticket: String,
    tokens: u32,
    /// Time of the last call without an answer.
    unanswered: Cell<Option<Duration>>,
}

impl Memory {
    /// Reserves `shares`, tokens at each engine, for a request that is about to be sent to `user`; none if one of them
    /// is not free.
    pub(super) async fn acquire(
        instance: &Rc<Instance>,
        user: &Rc<Target>,
        shares: impl IntoIterator<Item = (Rc<Target>, u32)>,
    ) -> Option<Memory> {
        let (lost, loss) = async_channel::bounded(1);
        let mut memory = Memory {
            instance: instance.clone(),
            loss,
            renewal: None,
            reservations: Vec::new(),
            last_event: Rc::default(),
        };
        for (target, tokens) in shares {
            let reservation = Rc::new(Reservation::new(instance, target, tokens));
            memory.reservations.push(reservation.clone());
            let reserved = reservation.call(instance).await;
            event!(
                instance.source,
                "reserve",
                target = reservation.target.id.as_str(),
                ticket = reservation.ticket.as_str(),
                tokens = tokens,
                reserved = reserved
            );
            if !reserved {
                // An unanswered call may have been carried out: dropping the memory releases it.
                return None;
            }
        }
        let renewal = renew(
            instance.clone(),
            user.clone(),
            memory.reservations.clone(),
            memory.last_event.clone(),
            lost,
        );
        memory.renewal = Some(instance.executor.spawn(renewal));
        Some(memory)
    }

    /// The ticket of the memory at a target, if any.
    pub(super) fn ticket(&self, target: &Target) -> Option<&str> {
        let mut reservations = self.reservations.iter();
        let found = reservations.find(|reservation| reservation.target.id == target.id);
        found.map(|reservation| reservation.ticket.as_str())
    }

    /// Records an event of the request, which proves that it runs and uses the memory.
    pub(super) fn record_event(&self) {
        self.last_event.set(Some(self.instance.clock.now()));
    }

    /// Gets the reason if the memory is lost.
    pub(super) fn loss(&self) -> &Receiver<Loss> {
        &self.loss
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        // No renewal may follow the release.
        drop(self.renewal.take());
        for reservation in self.reservations.drain(..) {
            let release = release(self.instance.clone(), reservation);
            self.instance.spawn("release", release);
        }
    }
}

impl Reservation {
    fn new(instance: &Instance, target: Rc<Target>, tokens: u32) -> Reservation {
        Reservation {
            confirmed: Cell::new(instance.clock.now()),
            target,
            ticket: instance.next_ticket(),
            tokens,
            unanswered: Cell::new(None),
        }
    }

    /// Reserves the memory, or extends the reservation; false if that is not confirmed.
    async fn call(&self, instance: &Instance) -> bool {
        let now = instance.clock.now();
        // The call counts as unanswered until its answer arrives, since this future may be dropped before.
        let before = self.unanswered.replace(Some(now));
        let ordered = instance
            .targets
            .reserve(&self.target, &self.ticket, self.tokens, LEASE)
            .await;
        instance.apply_notice(&self.target, ordered.notice);
        if ordered.done {
            self.unanswered.set(before);
            self.confirmed.set(now);
        }
        ordered.done
    }

    async fn renew(&self, instance: &Instance) {
        if !self.call(instance).await {
            event!(
                warn,
                instance.source,
                "renewal_unanswered",
                target = self.target.id.as_str(),
                ticket = self.ticket.as_str()
            );
        }
    }
}

/// Renews reservations for the request at `user` until the memory is lost.
async fn renew(
    instance: Rc<Instance>,
    user: Rc<Target>,
    reservations: Vec<Rc<Reservation>>,
    last_event: Rc<Cell<Option<Duration>>>,
    lost: Sender<Loss>,
) {
    let acquired = reservations.iter().map(|known| known.confirmed.get());
    let acquired = acquired.min().unwrap_or_default();
    let check_use = acquired + MAX_UNUSED - RENEW_INTERVAL - RENEW_RETRY;
    let mut is_used = false;
    let mut min_pause = RENEW_RETRY;
    let loss = loop {
        let confirmed = reservations.iter().map(|known| known.confirmed.get());
        let confirmed = confirmed.min().unwrap_or_default();
        let pause = (confirmed + RENEW_INTERVAL).saturating_sub(instance.clock.now());
        Timer::after(pause.max(min_pause)).await;
        min_pause = RENEW_RETRY;
        let presence = presence(&instance, &user, &last_event).await;
        let now = instance.clock.now();
        if now >= confirmed + LEASE {
            // The engine has freed the memory and cut the request off.
            break Loss::Expired;
        }
        match presence {
            Presence::Running => {}
            Presence::Replaced => break Loss::TargetGone,
            // It may have ended, so nothing is renewed until it is heard again.
            Presence::Silent => {
                min_pause = QUESTION_RETRY;
                continue;
            }
        }
        is_used |= last_event.get().is_some();
        let asks_use = match is_used {
            // A process that runs may have ended the request, if the connection is dead.
            true => !has_new_event(last_event.get(), now),
            false => now >= check_use,
        };
        if asks_use {
            match are_used(&instance, &reservations).await {
                Some(true) => is_used = true,
                Some(false) | None if is_used => continue,
                None if now + RENEW_RETRY * 2 < acquired + MAX_UNUSED => {
                    min_pause = QUESTION_RETRY;
                    continue;
                }
                Some(false) | None => break Loss::Unused,
            }
        }
        let now = instance.clock.now();
        let is_due =
            |known: &&Rc<Reservation>| now + RENEW_RETRY >= known.confirmed.get() + RENEW_INTERVAL;
        let calls: Vec<Task<()>> = reservations
            .iter()
            .filter(is_due)
            .map(|known| {
                let (caller, known) = (instance.clone(), known.clone());
                let call = async move { known.renew(&caller).await };
                instance.executor.spawn(call)
            })
            .collect();
        for call in calls {
            call.await;
        }
    };
    event!(
        warn,
        instance.source,
        "memory_lost",
        target = user.id.as_str(),
        ticket = reservations.first().map(|known| known.ticket.as_str()),
        reason = loss.name()
    );
    // Fails only if nobody waits any more.
    let _ = lost.try_send(loss);
}

/// Whether the process that got the request runs; a new event is a sufficient answer.
async fn presence(
    instance: &Instance,
    user: &Target,
    last_event: &Cell<Option<Duration>>,
) -> Presence {
    match has_new_event(last_event.get(), instance.clock.now()) {
        true => Presence::Running,
        false => instance.presence(user).await,
    }
}

/// Whether the last event proves that its request runs.
fn has_new_event(last: Option<Duration>, now: Duration) -> bool {
    last.is_some_and(|at| now < at + MAX_EVENT_AGE)
}

/// Whether a request uses all the memory; none if an engine does not answer.
async fn are_used(instance: &Instance, reservations: &[Rc<Reservation>]) -> Option<bool> {
    let mut all = Some(true);
    for known in reservations {
        let targets = &instance.targets;
        match targets.uses_memory(&known.target, &known.ticket).await {
            Some(true) => {}
            Some(false) => return Some(false),
            None => all = None,
        }
    }
    all
}

/// Releases memory until nothing can reserve it again. A target that is no longer listed may still run.
async fn release(instance: Rc<Instance>, reservation: Rc<Reservation>) {
    let (target, unanswered) = (&reservation.target, &reservation.unanswered);
    let expires = instance.clock.now() + MAX_CALL_DELAY + LEASE;
    while instance.clock.now() < expires {
        let ordered = instance.targets.release(target, &reservation.ticket).await;
        instance.apply_notice(target, ordered.notice);
        let released = ordered.done;
        let now = instance.clock.now();
        if !released {
            unanswered.set(Some(now));
        }
        // A reservation call that is carried out after the release reserves the memory again.
        let is_done = unanswered.get().is_none_or(|at| now >= at + MAX_CALL_DELAY);
        if released && is_done {
            return;
        }
        Timer::after(RELEASE_RETRY).await;
    }
}

/// Waits for the loss of memory that is about to be used; forever if there is none.
pub(super) async fn lost(loss: Option<&Receiver<Loss>>) -> Loss {
    match loss {
        // The sender ends only with the memory, which this future does not outlive, or after it sent a reason.
        Some(loss) => loss.recv().await.unwrap_or(Loss::Expired),
        None => std::future::pending().await,
    }
}
