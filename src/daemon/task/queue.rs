use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::serve::{self, Queue};
use crate::daemon::state::State;
use crate::event;
use crate::id::TargetId;

/// Time between two passes over all queues.
const INTERVAL: Duration = Duration::from_millis(50);

/// Periodically expires reservations and requests of all queues, and evicts requests that another instance has to
/// dispatch.
pub(crate) async fn run(state: Arc<State>) {
    loop {
        for queue in state.queues() {
            let handles = queue.expire_holds(&state);
            if !handles.is_empty() {
                event!(
                    state.source,
                    "hold_expired",
                    target = queue.target().as_str(),
                    handles = handles.len()
                );
                serve::drop_handles(&state, queue.target(), handles);
            }
            queue.dispatch_ready(&state);
            // Requests that arrived while this instance was about to own the target, or that are between two chunks of
            // their prefill, may remain in the queue of a target that this instance does not own.
            if is_elsewhere(&state, queue.target()) {
                queue.evict(&state);
            }
        }
        Timer::after(INTERVAL).await;
    }
}

/// Whether requests queued for the target have to go to another instance or target.
fn is_elsewhere(state: &State, target: &TargetId) -> bool {
    !state.in_service(target) || matches!(state.route(target, 0), Ok(Some(_)))
}

/// Applies the records and the instance list in force to the queues of all listed targets.
pub(crate) fn enforce(state: &Arc<State>) {
    let listing = state.listing();
    for member in &listing.instances {
        if member.role == crate::remote::Role::Instance {
            continue;
        }
        let Some(queue) = state.existing_queue(&member.id) else {
            continue;
        };
        apply(state, &queue);
    }
}

fn apply(state: &Arc<State>, queue: &Queue) {
    let fold = state.fold();
    let record = fold.target(queue.target());
    let in_service = state.in_service(queue.target());
    let returned = queue.set_in_service(in_service);
    queue.update(state, |scheduler, now| {
        scheduler.configure(
            record.and_then(|record| record.cold_limit),
            record.and_then(|record| record.memory),
            record.is_some_and(|record| record.leaving),
        );
        if returned {
            // The target's caches may be empty and its load is unknown, so it ramps up like a cold target.
            scheduler.mark_cold(now);
        }
    });
    if !in_service {
        let moved = queue.evict(state);
        if moved > 0 {
            event!(
                state.source,
                "queue_moved",
                target = queue.target().as_str(),
                requests = moved
            );
        }
    }
}
