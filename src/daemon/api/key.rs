use std::sync::Arc;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::json;
use serde::Serialize;

use super::{caller, error_response};
use crate::daemon::state::State;

#[derive(Serialize)]
struct Key {
    key: String,
}

/// Issues an idempotency key whose calls only this process runs.
pub(super) fn serve(state: &Arc<State>, request: &Request) -> Response {
    if let Err(error) = caller::workspace(state, request) {
        return error_response(&error);
    }
    let key = state.claims.issue(state.clock.unix_ms());
    json(200, &Key { key })
}
