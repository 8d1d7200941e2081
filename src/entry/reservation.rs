use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use smol::{Task, Timer};

use super::{Instance, Target};
use crate::event;

/// Time for which memory is set aside without a word of this instance. Memory that stays for four seconds after its
/// request ended counts as lost; an instance that dies, or an order that is carried out late, leaves it for less.
const LEASE: Duration = Duration::from_millis(3_500);

/// Time between two renewals. Few are sent, because each one may be carried out after the release.
const RENEW_INTERVAL: Duration = Duration::from_millis(2_000);

/// Pause before a renewal without an answer is sent again; three of them fit before the hold ends.
const RENEW_RETRY: Duration = Duration::from_millis(400);

/// Time between two releases of memory whose orders were not all answered.
const RELEASE_RETRY: Duration = Duration::from_millis(1_500);

/// Longest time after which an order that was not answered may still be carried out.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(12_500);

/// Memory that is set aside at an engine for one request; released on drop.
pub(super) struct Reservation {
    instance: Rc<Instance>,
    /// Time of the last order that was not answered.
    unanswered: Rc<Cell<Option<Duration>>>,
    /// Renews the hold until it is dropped.
    _renewal: Task<()>,
    target: Rc<Target>,
    ticket: String,
}

impl Reservation {
    /// Sets memory aside; none if it is not free.
    pub(super) async fn acquire(
        instance: &Rc<Instance>,
        target: &Rc<Target>,
        tokens: u32,
    ) -> Option<Reservation> {
        let ticket = instance.next_ticket();
        let reserved = instance
            .targets
            .reserve(target, &ticket, tokens, LEASE)
            .await;
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
        // An order without an answer may have been carried out: dropping the reservation releases it.
        reserved.then_some(reservation)
    }

    /// Names the memory.
    pub(super) fn ticket(&self) -> &str {
        &self.ticket
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (instance, target) = (self.instance.clone(), self.target.clone());
        let ticket = std::mem::take(&mut self.ticket);
        let executor = instance.executor.clone();
        let unanswered = self.unanswered.clone();
        let release = async move {
            loop {
                let released = instance.targets.release(&target, &ticket).await;
                let now = instance.clock.now();
                if !released {
                    unanswered.set(Some(now));
                }
                // An order that comes later than the release sets the memory aside again.
                let is_done = unanswered
                    .get()
                    .is_none_or(|at| now >= at + MAX_ORDER_DELAY);
                if released && is_done || !instance.is_listed(&target) {
                    return;
                }
                Timer::after(RELEASE_RETRY).await;
            }
        };
        executor.spawn(release).detach();
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
        // Until the answer arrives the order counts as unanswered: this task may end before.
        let before = unanswered.replace(Some(instance.clock.now()));
        if instance
            .targets
            .reserve(&target, &ticket, tokens, LEASE)
            .await
        {
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
