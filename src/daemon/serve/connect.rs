use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::{with_timeout, Connection};

use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::id::TargetId;

/// Time limit for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection to a target, then checks once more that this instance may dispatch to it. On an error no byte has
/// been written.
pub(super) async fn connect(
    state: &Arc<State>,
    target: &TargetId,
    address: SocketAddr,
) -> Result<Connection, Error> {
    let connection = match with_timeout(CONNECT_TIMEOUT, Connection::open(address)).await {
        Ok(connection) => connection,
        Err(error) => {
            mark_unreachable(state, target);
            let message = format!("cannot reach `{target}`: {error}");
            return Err(Error::new(Kind::Unavailable, message));
        }
    };
    // The process may have been paused since the scheduler dispatched the request, and the lease may have expired.
    if state.may_dispatch(target) {
        return Ok(connection);
    }
    let message = format!("this instance does not dispatch to `{target}`");
    Err(Error::new(Kind::Moved, message))
}

/// Records that the target does not answer. When it returns, it counts as cold.
pub(super) fn mark_unreachable(state: &Arc<State>, target: &TargetId) {
    let now = state.clock.now();
    lock(&state.outliers).record(target, false, now);
    state
        .queue(target)
        .update(state, |scheduler, now| scheduler.mark_cold(now));
}
