use std::time::Duration;

use futures_lite::{future, AsyncReadExt};
use jujubehook_http::http_types::{Body, Request};
use sha2::{Digest, Sha256};
use smol::Timer;

use crate::daemon::state::{Admission, State};
use crate::error::{Error, Kind};
use crate::record::Workspace;

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the buffer through which a body is read.
const CHUNK_BYTES: usize = 64 << 10;

/// Header with the caller's deadline in milliseconds from now.
const DEADLINE_HEADER: &str = "x-deadline-ms";

const SCHEME: &str = "Bearer ";

/// Returns the workspace whose key the caller presents.
pub(super) fn workspace(state: &State, request: &Request) -> Result<Workspace, Error> {
    if !state.is_synced() {
        let message = "the configuration has not been loaded yet";
        return Err(Error::new(Kind::Unavailable, message).with_retry_after(Duration::from_secs(1)));
    }
    let key = request
        .header("authorization")
        .and_then(|values| values.last().as_str().strip_prefix(SCHEME));
    let Some(key) = key else {
        let message = "the header `authorization` must have the form `Bearer <workspace key>`";
        return Err(Error::new(Kind::Unauthorized, message));
    };
    let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    state
        .fold()
        .workspace_by_key(&digest)
        .cloned()
        .ok_or_else(|| Error::new(Kind::Unauthorized, "unknown workspace key"))
}

/// Returns the time that the request may take: the caller's deadline, or the default of the settings.
pub(super) fn deadline(state: &State, request: &Request) -> Result<Duration, Error> {
    let limits = &state.settings.limits;
    let Some(values) = request.header(DEADLINE_HEADER) else {
        return Ok(limits.default_deadline);
    };
    let value = values.last().as_str();
    let millis: u64 = value.parse().map_err(|_| {
        let message =
            format!("`{DEADLINE_HEADER}` is `{value}`, must be a whole number of milliseconds");
        Error::new(Kind::BadRequest, message)
    })?;
    if millis == 0 {
        let message = "the deadline has already passed";
        return Err(Error::new(Kind::DeadlineRefused, message));
    }
    let limit = Duration::from_millis(millis);
    if limit > limits.max_deadline {
        let max = limits.max_deadline.as_millis();
        let message = format!("`{DEADLINE_HEADER}` is {millis}, the limit is {max}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(limit)
}

/// Reads the body, up to `limit` bytes and within `time` and [`BODY_TIMEOUT`]. Its bytes count against the memory limit
/// of the settings.
pub(super) async fn body(
    admission: &mut Admission,
    request: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Vec<u8>, Error> {
    let body = request.take_body();
    future::or(collect(admission, body, limit), async {
        Timer::after(BODY_TIMEOUT.min(time)).await;
        Err(unreadable("timed out"))
    })
    .await
}

async fn collect(
    admission: &mut Admission,
    mut body: Body,
    limit: usize,
) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = body.read(&mut chunk).await.map_err(unreadable)?;
        if count == 0 {
            return Ok(bytes);
        }
        if bytes.len() + count > limit {
            let message = format!("the body exceeds the limit of {limit} bytes");
            return Err(Error::new(Kind::TooLarge, message));
        }
        admission.grow(count)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::BadRequest, format!("cannot read the body: {error}"))
}
