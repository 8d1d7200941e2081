use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{mime, Method};
use jujubehook_http::{read, with_timeout, Client, Connection};

use super::connect::connect;
use super::submission::Submission;
use super::Queue;
use crate::daemon::client;
use crate::daemon::state::{lock, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{tokens, TargetId};
use crate::remote;
use crate::target::Request;
use crate::wire::{Call, Reply};

/// Time on top of the deadline in which the owner can still report that the deadline passed.
const FORWARD_GRACE: Duration = Duration::from_millis(300);

const KEY_HEADER: &str = "idempotency-key";

/// Calls a plain service, directly if this instance owns the target, else through the owner.
///
/// If the kind of the error says `executed = no`, no byte reached the service.
pub(crate) async fn call(state: &Arc<State>, mut call: Call) -> Result<Reply, Error> {
    let Some(target) = call.target.clone() else {
        return Err(Error::new(Kind::BadRequest, "the call has no target"));
    };
    let Some(peer) = state.route(&target, call.hops)? else {
        return local(state, &target, &call).await;
    };
    call.hops += 1;
    let limit = Duration::from_millis(call.deadline_ms) + FORWARD_GRACE;
    state.metrics.count_forward();
    client::call(state, &peer, "/peer/call", &call, limit)
        .await
        .map_err(|error| sent_error(&call, error))
}

async fn local(state: &Arc<State>, target: &TargetId, call: &Call) -> Result<Reply, Error> {
    if !state.in_service(target) {
        let message = format!("`{target}` does not accept new work");
        return Err(Error::new(Kind::Moved, message));
    }
    let deadline = state.clock.now() + Duration::from_millis(call.deadline_ms);
    let queue = state.queue(target);
    let submission = Submission::new(state, &queue, request(call, deadline))?;
    submission.next_dispatch().await?;
    let address = state.address(target)?;
    let connection = connect(state, target, address).await?;
    event!(
        state.source,
        "dispatch_call",
        request = hex(call.request),
        attempt = hex(call.attempt),
        target = target.as_str(),
        workspace = call.workspace.as_str(),
        call = call.name.as_str()
    );
    let left = deadline.saturating_sub(state.clock.now());
    let outcome = send(state, &queue, address, connection, call, left).await;
    let now = state.clock.now();
    lock(&state.outliers).record(target, outcome.is_ok(), now);
    submission.finish(outcome.is_ok());
    outcome.map_err(|error| {
        let message = format!("no complete response from `{target}`: {error}");
        sent_error(call, Error::new(Kind::UpstreamFailed, message))
    })
}

async fn send(
    state: &State,
    queue: &Queue,
    address: SocketAddr,
    connection: Connection,
    call: &Call,
    limit: Duration,
) -> Result<Reply, jujubehook_http::Error> {
    let mut request = Client::request(Method::Post, address, &format!("/call/{}", call.name))?;
    if let Some(key) = &call.key {
        request.insert_header(KEY_HEADER, key.as_str());
    }
    request.set_body(call.body.as_str());
    request.set_content_type(mime::JSON);
    let work = async {
        let mut response = connection.send(request).await?;
        queue.observe_reply(
            state,
            remote::boot_number(&response),
            remote::cold_flag(&response),
        );
        let bytes = read(response.take_body(), state.settings.limits.body_bytes).await?;
        let body = String::from_utf8(bytes)
            .map_err(|error| jujubehook_http::Error::Exchange(error.to_string()))?;
        Ok(Reply {
            body,
            status: response.status().into(),
        })
    };
    with_timeout(limit, work).await
}

/// Turns the failure of a call that was sent into an unknown outcome if the call must run at most once.
fn sent_error(call: &Call, error: Error) -> Error {
    if call.key.is_some() && error.kind() == Kind::UpstreamFailed {
        return Error::new(Kind::OutcomeUnknown, error.message());
    }
    error
}

fn request(call: &Call, deadline: Duration) -> Request {
    Request {
        deadline,
        held: false,
        id: call.attempt,
        max_tokens: 0,
        prefix: Vec::new(),
        prompt: tokens(call.body.len()),
        weight: 1,
        workspace: call.workspace.clone(),
    }
}
