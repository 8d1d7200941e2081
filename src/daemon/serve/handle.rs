use std::net::SocketAddr;
use std::sync::Arc;

use crate::daemon::state::State;
use crate::id::AttemptId;
use crate::remote::Engine;

/// KV memory kept on an engine; dropping the guard drops the memory.
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
        forget(&self.state, self.address, self.handle);
    }
}

/// Drops a handle in the background; what fails is left to the periodic reading of handles.
pub(super) fn forget(state: &Arc<State>, address: SocketAddr, handle: AttemptId) {
    let state = state.clone();
    smol::spawn(async move {
        let _ = Engine::new(&state.client, address)
            .drop_handle(handle)
            .await;
    })
    .detach();
}
