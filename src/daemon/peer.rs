//! HTTP API for other instances and operators: forwarded work, ownership, reservations and status.

use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, pipe, read, text, with_timeout, Peer};
use serde::de::DeserializeOwned;
use serde::Serialize;
use subtle::ConstantTimeEq;

use super::api::{error_response, not_found};
use super::client::{DATA_PATHS, KEY_HEADER, TIME_HEADER};
use super::frames::Frames;
use super::state::State;
use super::{once, serve, status, task};
use crate::error::{Error, Kind};
use crate::id::AttemptId;
use crate::metric::Channel;
use crate::wire::{self, Answer, Body, Call, Failure, Frame, Hold, Run, Segment};

/// Bytes by which a peer's message may exceed the largest body of a caller.
const MESSAGE_OVERHEAD: usize = 1 << 20;

/// Time limit for receiving a peer's message.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Typical size of an HTTP head between instances in bytes; the HTTP server does not report the actual size.
const HEAD_BYTES: usize = 180;

/// Authenticates and answers one request of a peer or an operator.
pub(super) async fn answer(state: Arc<State>, mut request: Request, peer: Peer) -> Response {
    if !has_peer_key(&state, &request) {
        return error_response(&Error::new(Kind::Unauthorized, "wrong peer key"));
    }
    if let Some(time) = request
        .header(TIME_HEADER)
        .and_then(|values| values.last().as_str().parse().ok())
    {
        state.clock.merge(time);
    }
    let path = request.url().path().to_owned();
    if request.method() == Method::Get {
        return match path.as_str() {
            "/peer/status" => json(200, &status::status(&state)),
            path => not_found(path),
        };
    }
    let limit = state.settings.limits.body_bytes + MESSAGE_OVERHEAD;
    let bytes = match with_timeout(BODY_TIMEOUT, read(request.take_body(), limit)).await {
        Ok(bytes) => bytes,
        Err(error) => return error_response(&receive_error(&error)),
    };
    let mut response = Box::pin(handle(&state, &path, &bytes, &peer)).await;
    if !DATA_PATHS.contains(&path.as_str()) {
        let traffic = state.metrics.traffic(Channel::Peer);
        traffic.add_received(bytes.len() + HEAD_BYTES);
        traffic.add_sent(response.len().unwrap_or_default() + HEAD_BYTES);
    }
    response.insert_header(TIME_HEADER, state.clock.tick().to_string());
    response
}

/// Handles a message by its path.
async fn handle(state: &Arc<State>, path: &str, bytes: &[u8], peer: &Peer) -> Response {
    match path {
        "/peer/acquire" => {
            reply(bytes, |message| async move {
                Ok(task::heartbeat::acquire(state, &message))
            })
            .await
        }
        "/peer/call" => reply(bytes, |call: Call| serve::call(state, call)).await,
        "/peer/claims" => {
            reply(bytes, |handles: Vec<AttemptId>| async move {
                Ok(used_handles(state, handles))
            })
            .await
        }
        "/peer/fold" => reply(bytes, |(): ()| async move { Ok(state.fold().snapshot()) }).await,
        "/peer/hold" => reply(bytes, |hold: Hold| serve::reserve(state, hold)).await,
        "/peer/once" => reply(bytes, |call: Call| once::run(state, call)).await,
        "/peer/prefill" => {
            let work = reply(bytes, |segment: Segment| serve::segment(state, segment));
            match peer.run_until_closed(work).await {
                Ok(response) => response,
                Err(error) => text(499, error.to_string()),
            }
        }
        "/peer/run" => match wire::decode(bytes) {
            Ok(run) => stream(state, run, peer),
            Err(error) => error_response(&error),
        },
        path => not_found(path),
    }
}

/// Decodes a message, handles it and encodes the answer.
async fn reply<M, T, F>(bytes: &[u8], handle: impl FnOnce(M) -> F) -> Response
where
    M: DeserializeOwned,
    T: Serialize,
    F: std::future::Future<Output = Result<T, Error>>,
{
    let answer: Answer<T> = match wire::decode(bytes) {
        Ok(message) => handle(message).await.map_err(|error| Failure::from(&error)),
        Err(error) => Err(Failure::from(&error)),
    };
    let mut response = Response::new(200);
    response.set_body(wire::encode(&answer));
    response
}

/// Streams the frames of an attempt. The attempt is cancelled if the peer disconnects.
fn stream(state: &Arc<State>, run: Run, peer: &Peer) -> Response {
    let (writer, body) = pipe();
    let (state, peer) = (state.clone(), peer.clone());
    smol::spawn(async move {
        let work = async {
            let attempt = run.attempt;
            let mut sequence = 0;
            let mut send = async |body: Body| {
                let frame = Frame {
                    attempt,
                    body,
                    sequence,
                    time: state.clock.tick(),
                };
                sequence += 1;
                writer.send(wire::encode_frame(&frame)).await
            };
            let mut frames = match Frames::open(&state, run).await {
                Ok(frames) => frames,
                Err(error) => return send(fail(&error)).await,
            };
            loop {
                let body = frames
                    .next(&state)
                    .await
                    .unwrap_or_else(|error| fail(&error));
                let last = matches!(body, Body::End { .. } | Body::Fail { .. });
                send(body).await?;
                if last {
                    return Ok(());
                }
            }
        };
        let _ = peer.run_until_closed(work).await;
    })
    .detach();
    let mut response = Response::new(200);
    response.set_body(body);
    response
}

fn fail(error: &Error) -> Body {
    Body::Fail {
        failure: error.into(),
        load: None,
    }
}

/// Returns those of `handles` that this instance uses.
fn used_handles(state: &State, handles: Vec<AttemptId>) -> Vec<AttemptId> {
    let queues = state.queues();
    handles
        .into_iter()
        .filter(|handle| queues.iter().any(|queue| queue.uses(*handle)))
        .collect()
}

/// Makes the error for a message that could not be received.
fn receive_error(error: &jujubehook_http::Error) -> Error {
    let kind = match error {
        jujubehook_http::Error::TooLarge(_) => Kind::TooLarge,
        _ => Kind::BadRequest,
    };
    Error::new(kind, format!("cannot read the message: {error}"))
}

/// Whether the request carries the peer key; compared in constant time.
fn has_peer_key(state: &State, request: &Request) -> bool {
    let expected = state.settings.peer_key.as_bytes();
    request
        .header(KEY_HEADER)
        .is_some_and(|values| values.last().as_str().as_bytes().ct_eq(expected).into())
}
