use std::sync::Arc;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::json;
use serde::Serialize;

use super::{caller, failed};
use crate::daemon::state::State;

#[derive(Serialize)]
struct Key {
    key: String,
}

/// Issues an idempotency key that this process alone runs.
pub(super) fn serve(state: &Arc<State>, request: &Request) -> Response {
    if let Err(error) = caller::workspace(state, request) {
        return failed(&error);
    }
    let key = state.claims.issue(state.clock.unix_ms());
    json(200, &Key { key })
}
