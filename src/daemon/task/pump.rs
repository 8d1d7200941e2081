use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::serve::{self, Slot};
use crate::daemon::state::State;
use crate::event;
use crate::id::TargetId;

/// Time between two checks for expired deadlines and changed permissions.
const INTERVAL: Duration = Duration::from_millis(50);

/// Applies deadlines, expired reservations and the records in force to all targets.
pub(crate) async fn run(state: Arc<State>) {
    loop {
        for slot in state.slots() {
            let handles = slot.expire_holds(&state);
            if !handles.is_empty() {
                event!(
                    state.source,
                    "hold_expired",
                    target = slot.target().as_str(),
                    handles = handles.len()
                );
                serve::drop_handles(&state, slot.target(), handles);
            }
            slot.pump(&state);
            // Work that came while this instance was about to get the target, or whose prefill is between two pieces.
            if is_elsewhere(&state, slot.target()) {
                slot.evict(&state);
            }
        }
        Timer::after(INTERVAL).await;
    }
}

/// Whether queued work for the target has to go to another instance or target.
fn is_elsewhere(state: &State, target: &TargetId) -> bool {
    !state.in_service(target) || matches!(state.route(target, 0), Ok(Some(_)))
}

/// Applies the records and the instance list in force to all targets.
pub(crate) fn enforce(state: &Arc<State>) {
    let listing = state.listing();
    for member in &listing.instances {
        if member.role == crate::remote::Role::Instance {
            continue;
        }
        let Some(slot) = state.existing(&member.id) else {
            continue;
        };
        apply(state, &slot);
    }
}

fn apply(state: &Arc<State>, slot: &Slot) {
    let fold = state.fold();
    let record = fold.target(slot.target());
    let serving = state.in_service(slot.target());
    let returned = slot.set_serving(serving);
    slot.update(state, |scheduler, now| {
        scheduler.configure(
            record.and_then(|record| record.cold_limit),
            record.and_then(|record| record.memory),
            record.is_some_and(|record| record.leaving),
        );
        if returned {
            // Its caches are empty and its load is unknown, so it ramps up like a cold target.
            scheduler.mark_cold(now);
        }
    });
    if !serving {
        let moved = slot.evict(state);
        if moved > 0 {
            event!(
                state.source,
                "queue_moved",
                target = slot.target().as_str(),
                requests = moved
            );
        }
    }
}
