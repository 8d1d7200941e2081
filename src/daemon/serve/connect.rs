use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::{with_timeout, Connection};

use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::id::TargetId;

/// Longest wait for a target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection to a target, with a last check that the target may get work. An error proves that no byte was
/// written.
pub(super) async fn connect(
    state: &Arc<State>,
    target: &TargetId,
    address: SocketAddr,
) -> Result<Connection, Error> {
    let connection = match with_timeout(CONNECT_TIMEOUT, Connection::open(address)).await {
        Ok(connection) => connection,
        Err(error) => {
            unreachable(state, target);
            let message = format!("cannot reach `{target}`: {error}");
            return Err(Error::new(Kind::Unavailable, message));
        }
    };
    // The process may have been paused since the queue gave the turn.
    if state.may_dispatch(target) {
        return Ok(connection);
    }
    let message = format!("`{target}` takes no new work here");
    Err(Error::new(Kind::Moved, message))
}

/// Notes that the target did not answer: it is cold when it returns.
pub(super) fn unreachable(state: &Arc<State>, target: &TargetId) {
    let now = state.clock.now();
    lock(&state.outlier).record(target, false, now);
    state
        .slot(target)
        .update(state, |scheduler, now| scheduler.mark_cold(now));
}
