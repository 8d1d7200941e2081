use std::sync::Arc;
use std::time::Duration;

use super::handle::forget;
use crate::daemon::client;
use crate::daemon::state::State;
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{AttemptId, TargetId};
use crate::wire::Hold;

/// Time after which a reservation that is not renewed is released.
pub(crate) const HOLD_LIFETIME: Duration = Duration::from_secs(5);

/// Longest wait for another instance's answer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes, renews or releases a reservation on a target, here or at the target's owner.
pub(crate) async fn hold(state: &Arc<State>, mut hold: Hold) -> Result<(), Error> {
    let Some(peer) = state.route(&hold.target, hold.hops)? else {
        return local(state, &hold);
    };
    hold.hops += 1;
    client::call(state, &peer, "/peer/hold", &hold, FORWARD_TIMEOUT).await
}

fn local(state: &Arc<State>, hold: &Hold) -> Result<(), Error> {
    let slot = state.slot(&hold.target);
    if hold.release {
        let handles = slot.release(state, hold.part);
        drop_handles(state, &hold.target, handles);
        return Ok(());
    }
    if !slot.claims(hold.part) && !state.may_dispatch(&hold.target) {
        let message = format!("`{}` takes no new work here", hold.target);
        return Err(Error::new(Kind::Moved, message));
    }
    if slot.hold(state, hold) {
        return Ok(());
    }
    event!(
        state.source,
        "hold_refused",
        target = hold.target.as_str(),
        part = hex(hold.part),
        tokens = hold.tokens
    );
    let message = format!("`{}` has not enough free memory", hold.target);
    Err(Error::new(Kind::Overloaded, message))
}

/// Drops handles on a target in the background.
pub(crate) fn drop_handles(state: &Arc<State>, target: &TargetId, handles: Vec<AttemptId>) {
    if let Ok(address) = state.address(target) {
        for handle in handles {
            forget(state, address, handle);
        }
    }
}
