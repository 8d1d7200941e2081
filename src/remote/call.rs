use std::net::SocketAddr;
use std::time::Duration;

use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::{with_timeout, Client, Error as HttpError, Reuse};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::Error;

/// Most characters of an error response that a message quotes.
const EXCERPT_CHARS: usize = 200;

const NOT_MODIFIED: u16 = 304;
const OK: u16 = 200;
const OVERLOADED: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Sends a request and returns the status and the body of the response, all within `timeout`.
pub(super) async fn call(
    client: &Client,
    address: SocketAddr,
    request: Request,
    reuse: Reuse,
    limit: usize,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), HttpError> {
    let work = client.fetch(address, request, reuse, limit);
    let answer = with_timeout(timeout, work).await;
    if matches!(answer, Err(HttpError::Timeout)) {
        // The idle connections go the same way and may be as silent.
        client.discard(address);
    }
    let (response, bytes): (Response, Vec<u8>) = answer?;
    Ok((u16::from(response.status()), bytes))
}

/// Decodes the body of a response with status 200. Status 304 gives `None`, any other an error.
pub(super) fn decode<T: DeserializeOwned>(status: u16, bytes: &[u8]) -> Result<Option<T>, Error> {
    match status {
        OK => serde_json::from_slice(bytes)
            .map(Some)
            .map_err(|error| Error::Unknown(format!("malformed response: {error}"))),
        NOT_MODIFIED => Ok(None),
        _ => Err(failure(status, bytes)),
    }
}

/// Makes the error for a status. Only 429, and 503 with a statement that nothing was executed, are certain refusals.
fn failure(status: u16, bytes: &[u8]) -> Error {
    let text = String::from_utf8_lossy(bytes);
    let excerpt: String = text.chars().take(EXCERPT_CHARS).collect();
    let message = format!("status {status}: {excerpt}");
    match status {
        OVERLOADED => Error::Refused(message),
        UNAVAILABLE if says_not_executed(bytes) => Error::Refused(message),
        _ => Error::Unknown(message),
    }
}

/// Whether an error response contains `"executed":"no"`, at the top level or under `error`.
fn says_not_executed(bytes: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<Value>(bytes) else {
        return false;
    };
    let nested = value.get("error").and_then(|error| error.get("executed"));
    let stated = nested.or_else(|| value.get("executed"));
    stated.and_then(Value::as_str) == Some("no")
}
