use std::rc::Rc;
use std::time::Duration;

use smol::{Task, Timer};

use super::{Instance, Target};
use crate::event;

/// Time for which memory is set aside without a word of this instance. An instance that dies leaves nothing behind
/// longer than this, nor does an order that is carried out late; both are far below the four seconds after which
/// forgotten memory counts as lost.
const HOLD: Duration = Duration::from_secs(3);

/// Time between two renewals: two of them may be lost.
const RENEW: Duration = Duration::from_millis(900);

/// Times that a release is sent until it is answered; the hold ends by itself after them.
const RELEASES: usize = 3;

/// Pause between two of them.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// Memory that is set aside at an engine for one request; released on drop.
pub(super) struct Reservation {
    instance: Rc<Instance>,
    /// Renews the hold until it is dropped.
    _renewal: Task<()>,
    target: Rc<Target>,
    ticket: String,
}

impl Reservation {
    /// Sets memory aside; none if it is not free.
    pub(super) async fn take(
        instance: &Rc<Instance>,
        target: &Rc<Target>,
        tokens: u32,
    ) -> Option<Reservation> {
        let ticket = instance.next_ticket();
        let reserved = instance
            .targets
            .reserve(target, &ticket, tokens, HOLD)
            .await;
        let renewal = renew(instance.clone(), target.clone(), ticket.clone(), tokens);
        let reservation = Reservation {
            _renewal: instance.executor.spawn(renewal),
            instance: instance.clone(),
            target: target.clone(),
            ticket,
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
        let release = async move {
            for _ in 0..RELEASES {
                if instance.targets.release(&target, &ticket).await {
                    return;
                }
                Timer::after(RELEASE_PAUSE).await;
            }
            event!(
                warn,
                instance.source,
                "release_unanswered",
                target = target.id.as_str(),
                ticket = ticket.as_str()
            );
        };
        executor.spawn(release).detach();
    }
}

async fn renew(instance: Rc<Instance>, target: Rc<Target>, ticket: String, tokens: u32) {
    loop {
        Timer::after(RENEW).await;
        if !instance
            .targets
            .reserve(&target, &ticket, tokens, HOLD)
            .await
        {
            event!(
                warn,
                instance.source,
                "renewal_unanswered",
                target = target.id.as_str(),
                ticket = ticket.as_str()
            );
        }
    }
}
