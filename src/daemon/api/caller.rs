use std::time::Duration;

use futures_lite::{future, AsyncReadExt};
use jujubehook_http::http_types::{Body, Request};
use sha2::{Digest, Sha256};
use smol::Timer;

use crate::daemon::state::{Active, State};
use crate::error::{Error, Kind};
use crate::record::Workspace;

/// Longest time that a caller has to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a body that are read at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// Header with the time in milliseconds that the caller gives the request.
const DEADLINE_HEADER: &str = "x-deadline-ms";

const SCHEME: &str = "Bearer ";

/// Finds the workspace of the key that the caller presents.
pub(super) fn workspace(state: &State, request: &Request) -> Result<Workspace, Error> {
    if !state.is_synced() {
        let message = "the configuration is not known yet";
        return Err(Error::new(Kind::Unavailable, message).with_retry_after(Duration::from_secs(1)));
    }
    let key = request
        .header("authorization")
        .and_then(|values| values.last().as_str().strip_prefix(SCHEME));
    let Some(key) = key else {
        let message = "the header `authorization` must be `Bearer` and a workspace key";
        return Err(Error::new(Kind::Unauthorized, message));
    };
    let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    state
        .fold()
        .workspace_by_key(&digest)
        .cloned()
        .ok_or_else(|| Error::new(Kind::Unauthorized, "the workspace key is not known"))
}

/// The time that the request may take.
pub(super) fn deadline(state: &State, request: &Request) -> Result<Duration, Error> {
    let limits = &state.settings.limits;
    let Some(values) = request.header(DEADLINE_HEADER) else {
        return Ok(limits.default_deadline);
    };
    let value = values.last().as_str();
    let millis: u64 = value.parse().map_err(|_| {
        let message = format!("`{DEADLINE_HEADER}` is `{value}`, must be a number");
        Error::new(Kind::BadRequest, message)
    })?;
    if millis == 0 {
        let message = "the deadline has passed already";
        return Err(Error::new(Kind::DeadlineRefused, message));
    }
    let limit = Duration::from_millis(millis);
    if limit > limits.max_deadline {
        let max = limits.max_deadline.as_millis();
        let message = format!("`{DEADLINE_HEADER}` is {millis}, must be at most {max}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(limit)
}

/// Reads the body, up to the limits of the settings and within the time of the request.
pub(super) async fn body(
    active: &mut Active,
    request: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Vec<u8>, Error> {
    let body = request.take_body();
    future::or(collect(active, body, limit), async {
        Timer::after(BODY_TIMEOUT.min(time)).await;
        Err(unread("timed out"))
    })
    .await
}

async fn collect(active: &mut Active, mut body: Body, limit: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = body.read(&mut chunk).await.map_err(unread)?;
        if count == 0 {
            return Ok(bytes);
        }
        if bytes.len() + count > limit {
            let message = format!("the body exceeds the limit of {limit} bytes");
            return Err(Error::new(Kind::TooLarge, message));
        }
        active.grow(count)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn unread(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::BadRequest, format!("cannot read the body: {error}"))
}
