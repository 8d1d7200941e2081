use std::future::Future;
use std::time::Duration;

use futures_lite::{future, AsyncRead, AsyncReadExt};
use http_types::{mime, Response, StatusCode};
use serde::Serialize;
use smol::Timer;

use crate::Error;

/// Reads a whole body, up to `limit` bytes.
///
/// # Errors
/// `Error::TooLarge` above `limit`, `Error::Exchange` if the body cannot be read.
pub async fn read(body: impl AsyncRead + Unpin, limit: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let mut bounded = body.take(limit as u64 + 1);
    bounded
        .read_to_end(&mut bytes)
        .await
        .map_err(|error| Error::Exchange(error.to_string()))?;
    if bytes.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(bytes)
}

/// Makes a JSON response.
pub fn json(status: u16, value: &impl Serialize) -> Response {
    let mut response = Response::new(status_code(status));
    match serde_json::to_vec(value) {
        Ok(bytes) => response.set_body(bytes),
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response.set_content_type(mime::JSON);
    response
}

/// Makes a plain-text response.
pub fn text(status: u16, value: impl Into<String>) -> Response {
    let mut response = Response::new(status_code(status));
    response.set_body(value.into());
    response
}

/// Runs `work` for at most `limit`, then drops it.
///
/// # Errors
/// `Error::Timeout` after `limit`, or the error of `work`.
pub async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    future::or(work, async {
        Timer::after(limit).await;
        Err(Error::Timeout)
    })
    .await
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}
