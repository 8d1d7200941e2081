use std::net::SocketAddr;
use std::sync::Arc;

use crate::daemon::state::State;
use crate::id::AttemptId;
use crate::remote::Engine;

/// Owner of a KV handle on an engine; dropping it frees the handle's memory there.
pub(super) struct Handle {
    address: SocketAddr,
    handle: AttemptId,
    state: Arc<State>,
}

impl Handle {
    pub(super) fn new(state: &Arc<State>, address: SocketAddr, handle: AttemptId) -> Self {
        Self {
            address,
            handle,
            state: state.clone(),
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop_handle(&self.state, self.address, self.handle);
    }
}

/// Drops a handle in the background. After a failure the periodic cleanup of handles drops it.
pub(super) fn drop_handle(state: &Arc<State>, address: SocketAddr, handle: AttemptId) {
    let state = state.clone();
    smol::spawn(async move {
        let _ = Engine::new(&state.client, address)
            .drop_handle(handle)
            .await;
    })
    .detach();
}
