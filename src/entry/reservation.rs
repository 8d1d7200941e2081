use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use smol::{Task, Timer};

use super::{Instance, Target};
use crate::event;

/// Time for which a reservation lasts unless it is renewed. Memory that stays reserved for four seconds after its
/// request counts as leaked; this time stays below that if the instance dies or a call to the engine is delayed.
const LEASE: Duration = Duration::from_millis(3_500);

/// Time between two renewals. Renewals are few, because each may be carried out after the release.
const RENEW_INTERVAL: Duration = Duration::from_millis(2_000);

/// Pause before an unanswered renewal is repeated; three repeats fit in before the reservation ends.
const RENEW_RETRY: Duration = Duration::from_millis(400);

/// Time between two releases while earlier calls are unanswered.
const RELEASE_RETRY: Duration = Duration::from_millis(1_500);

/// Maximum delay after which an unanswered call may still be carried out.
const MAX_CALL_DELAY: Duration = Duration::from_millis(12_500);

/// Memory reserved at an engine for one request; released on drop.
pub(super) struct Reservation {
    instance: Rc<Instance>,
    /// Time of the last call without an answer.
    unanswered: Rc<Cell<Option<Duration>>>,
    /// Renews the reservation until it is dropped.
    _renewal: Task<()>,
    target: Rc<Target>,
    ticket: String,
}

impl Reservation {
    /// Reserves memory; none if it is not free.
    pub(super) async fn acquire(
        instance: &Rc<Instance>,
        target: &Rc<Target>,
        tokens: u32,
    ) -> Option<Reservation> {
        let ticket = instance.next_ticket();
        let ordered = instance
            .targets
            .reserve(target, &ticket, tokens, LEASE)
            .await;
        instance.apply_notice(target, ordered.notice);
        let reserved = ordered.done;
        let unanswered = Rc::new(Cell::new((!reserved).then(|| instance.clock.now())));
        let renewal = renew(
            instance.clone(),
            target.clone(),
            ticket.clone(),
            tokens,
            unanswered.clone(),
        );
        let reservation = Reservation {
            _renewal: instance.executor.spawn(renewal),
            instance: instance.clone(),
            target: target.clone(),
            ticket,
            unanswered,
        };
        event!(
            instance.source,
            "reserve",
            target = target.id.as_str(),
            ticket = reservation.ticket.as_str(),
            tokens = tokens,
            reserved = reserved
        );
        // An unanswered call may have been carried out: dropping the reservation releases the memory.
        reserved.then_some(reservation)
    }

    /// Id of the reservation at the engine.
    pub(super) fn ticket(&self) -> &str {
        &self.ticket
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (instance, target) = (self.instance.clone(), self.target.clone());
        let ticket = std::mem::take(&mut self.ticket);
        let spawner = instance.clone();
        let unanswered = self.unanswered.clone();
        let release = async move {
            loop {
                let ordered = instance.targets.release(&target, &ticket).await;
                instance.apply_notice(&target, ordered.notice);
                let released = ordered.done;
                let now = instance.clock.now();
                if !released {
                    unanswered.set(Some(now));
                }
                // A reservation call that is carried out after the release reserves the memory again.
                let is_done = unanswered.get().is_none_or(|at| now >= at + MAX_CALL_DELAY);
                if released && is_done || !instance.is_listed(&target) {
                    return;
                }
                Timer::after(RELEASE_RETRY).await;
            }
        };
        spawner.spawn("release", release);
    }
}

async fn renew(
    instance: Rc<Instance>,
    target: Rc<Target>,
    ticket: String,
    tokens: u32,
    unanswered: Rc<Cell<Option<Duration>>>,
) {
    let mut pause = RENEW_INTERVAL;
    loop {
        Timer::after(pause).await;
        // The call counts as unanswered until its answer arrives, since this task may be dropped before.
        let before = unanswered.replace(Some(instance.clock.now()));
        let ordered = instance
            .targets
            .reserve(&target, &ticket, tokens, LEASE)
            .await;
        instance.apply_notice(&target, ordered.notice);
        if ordered.done {
            unanswered.set(before);
            pause = RENEW_INTERVAL;
        } else {
            event!(
                warn,
                instance.source,
                "renewal_unanswered",
                target = target.id.as_str(),
                ticket = ticket.as_str()
            );
            pause = RENEW_RETRY;
        }
    }
}
