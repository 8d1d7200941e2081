//! HTTP API for callers: completions, calls to plain services, idempotency keys, health and metrics.

mod answer;
mod caller;
mod completion;
mod key;
mod payload;
mod service;

use std::sync::Arc;

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, text, Peer};

use super::state::State;
use crate::error::{Error, Kind};

/// Routes one request of a caller, a load balancer or a metrics scraper.
pub(super) async fn serve(state: Arc<State>, request: Request, peer: Peer) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => text(200, "ok\n"),
        (Method::Get, "/metrics") => metrics(&state),
        (Method::Get, "/readyz") => ready(&state),
        (Method::Post, "/v1/chat/completions") => {
            Box::pin(completion::serve(
                &state,
                request,
                &peer,
                payload::Endpoint::Chat,
            ))
            .await
        }
        (Method::Post, "/v1/completions") => {
            Box::pin(completion::serve(
                &state,
                request,
                &peer,
                payload::Endpoint::Text,
            ))
            .await
        }
        (Method::Post, "/v1/keys") => key::serve(&state, &request),
        (Method::Post, path) => match service::split(path) {
            Some((service, call)) => Box::pin(service::serve(&state, request, service, call)).await,
            None => not_found(path),
        },
        _ => not_found(&path),
    }
}

/// Makes the response for an error.
pub(super) fn error_response(error: &Error) -> Response {
    let mut response = json(error.kind().status(), &error.answer());
    if let Some(wait) = error.retry_after() {
        // The header has whole seconds; rounding down would invite a retry that comes too early.
        let seconds = wait.as_millis().div_ceil(1000);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}

fn metrics(state: &State) -> Response {
    state.metrics.set_owned_targets(state.owned_targets());
    text(200, state.metrics.render())
}

fn ready(state: &State) -> Response {
    if state.is_ready() {
        return text(200, "ready\n");
    }
    text(503, "not ready\n")
}

pub(super) fn not_found(path: &str) -> Response {
    error_response(&Error::new(
        Kind::BadRequest,
        format!("no such path or method: `{path}`"),
    ))
}
