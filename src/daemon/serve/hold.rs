use std::sync::Arc;
use std::time::Duration;

use super::handle::drop_handle;
use crate::daemon::client;
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{AttemptId, TargetId};
use crate::wire::{Held, Hold};

/// Time after which a reservation expires unless it is renewed.
pub(crate) const HOLD_LIFETIME: Duration = Duration::from_secs(5);

/// Time limit for the answer of the target's owner.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes, renews or releases a reservation on a target, here or at the target's owner.
pub(crate) async fn hold(state: &Arc<State>, hold: Hold) -> Result<(), Error> {
    let target = hold.target.clone();
    if reserve(state, hold).await?.held {
        return Ok(());
    }
    let message = format!("`{target}` does not have enough free memory");
    Err(Error::new(Kind::Overloaded, message))
}

/// Like [`hold`], but a refusal is no error and carries the target's load, so that the next plan does not ask for the
/// same memory again.
pub(crate) async fn reserve(state: &Arc<State>, mut hold: Hold) -> Result<Held, Error> {
    let Some(peer) = state.route(&hold.target, hold.hops)? else {
        return local(state, &hold);
    };
    hold.hops += 1;
    let held: Held = client::call(state, &peer, "/peer/hold", &hold, FORWARD_TIMEOUT).await?;
    let now = state.clock.now();
    lock(&state.loads).set(&hold.target, held.load.clone(), now);
    Ok(held)
}

fn local(state: &Arc<State>, hold: &Hold) -> Result<Held, Error> {
    let queue = state.queue(&hold.target);
    let answer = |held| Held {
        held,
        load: queue.load(state.clock.now()),
    };
    if hold.release {
        let handles = queue.release(state, hold.part);
        drop_handles(state, &hold.target, handles);
        return Ok(answer(true));
    }
    if !queue.uses(hold.part) && !state.may_dispatch(&hold.target) {
        let message = format!("this instance does not dispatch to `{}`", hold.target);
        return Err(Error::new(Kind::Moved, message));
    }
    if queue.hold(state, hold) {
        return Ok(answer(true));
    }
    event!(
        state.source,
        "hold_refused",
        target = hold.target.as_str(),
        part = hex(hold.part),
        tokens = hold.tokens
    );
    Ok(answer(false))
}

/// Drops handles on a target in the background.
pub(crate) fn drop_handles(state: &Arc<State>, target: &TargetId, handles: Vec<AttemptId>) {
    if let Ok(address) = state.address(target) {
        for handle in handles {
            drop_handle(state, address, handle);
        }
    }
}
