use std::time::Duration;

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{read, with_timeout, Client, Connection};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::state::{lock, State};
use crate::error::{Error, Kind};
use crate::metric::Channel;
use crate::remote::Member;
use crate::wire::{self, Answer};

/// Time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest accepted answer of a peer in bytes. The largest answer is a snapshot of all records.
const ANSWER_LIMIT: usize = 32 << 20;

/// Paths whose messages carry callers' data; their traffic does not count as control traffic.
pub(crate) const DATA_PATHS: &[&str] = &["/peer/call", "/peer/once", "/peer/prefill", "/peer/run"];

/// Header with the key that all instances share.
pub(crate) const KEY_HEADER: &str = "x-peer-key";

/// Header with the logical time of the sender.
pub(crate) const TIME_HEADER: &str = "x-time";

/// Sends a message to a peer and decodes its answer.
///
/// # Errors
/// `Unavailable` if the peer was not reached or rejected the message, so that nothing was run. `UpstreamFailed` if the
/// connection was lost or `limit` passed after the message was sent, so that it may have been run. Else the error that
/// the peer answers with, whose kind tells whether anything was run.
pub(crate) async fn call<T: DeserializeOwned>(
    state: &State,
    peer: &Member,
    path: &str,
    message: &impl Serialize,
    limit: Duration,
) -> Result<T, Error> {
    let mut connection = connect(state, peer).await?;
    if !DATA_PATHS.contains(&path) {
        connection = connection.metered(state.metrics.traffic(Channel::Peer).clone());
    }
    let request = request(state, peer, path, message)?;
    let work = async {
        let mut response = connection.send(request).await?;
        let bytes = read(response.take_body(), ANSWER_LIMIT).await?;
        Ok((response, bytes))
    };
    let (response, bytes) = with_timeout(limit, work)
        .await
        .map_err(|error| connection_lost(peer, &error))?;
    accept(state, peer, &response)?;
    let answer: Answer<T> = wire::decode(&bytes)?;
    Ok(answer?)
}

/// Checks the status of a peer's response and merges its logical time into the own clock.
pub(crate) fn accept(state: &State, peer: &Member, response: &Response) -> Result<(), Error> {
    if let Some(time) = response
        .header(TIME_HEADER)
        .and_then(|values| values.last().as_str().parse().ok())
    {
        state.clock.merge(time);
    }
    if response.status().is_success() {
        return Ok(());
    }
    let message = format!("`{}` answered with status {}", peer.id, response.status());
    Err(Error::new(Kind::Unavailable, message))
}

/// Opens a connection to a peer. On an error nothing has been sent.
pub(crate) async fn connect(state: &State, peer: &Member) -> Result<Connection, Error> {
    let now = state.clock.now();
    let outcome = with_timeout(CONNECT_TIMEOUT, Connection::open(peer.address)).await;
    lock(&state.outliers).record(&peer.id, outcome.is_ok(), now);
    outcome.map_err(|error| {
        let message = format!("cannot reach `{}`: {error}", peer.id);
        Error::new(Kind::Unavailable, message)
    })
}

/// Makes a request to a peer, with the shared key and the logical time in its headers.
pub(crate) fn request(
    state: &State,
    peer: &Member,
    path: &str,
    message: &impl Serialize,
) -> Result<Request, Error> {
    let mut request = Client::request(Method::Post, peer.address, path)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    request.insert_header(KEY_HEADER, state.settings.peer_key.as_str());
    request.insert_header(TIME_HEADER, state.clock.tick().to_string());
    request.set_body(wire::encode(message));
    Ok(request)
}

/// Makes the error for a connection that was lost after the message was sent.
pub(crate) fn connection_lost(peer: &Member, error: &jujubehook_http::Error) -> Error {
    let message = format!("lost the connection to `{}`: {error}", peer.id);
    Error::new(Kind::UpstreamFailed, message)
}
