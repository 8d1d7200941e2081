//! Requests with their bodies, and common responses.

use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, read, Error};
use serde::de::DeserializeOwned;
use serde_json::{json as value, Value};

/// Largest accepted body in bytes: room for a prompt of 4,000,000 tokens and its JSON.
const BODY_LIMIT: usize = 24 << 20;

/// A request whose body has been read.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) body: Vec<u8>,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    pub(crate) method: Method,
    path: String,
    query: Vec<(String, String)>,
}

impl Request {
    /// Reads the body of a request.
    pub(crate) async fn read(mut request: HttpRequest) -> Result<Self, Error> {
        let body = read(request.take_body(), BODY_LIMIT).await?;
        let url = request.url();
        Ok(Self {
            body,
            key: request
                .header("idempotency-key")
                .map(|values| values.as_str().to_owned()),
            method: request.method(),
            path: url.path().to_owned(),
            query: url
                .query_pairs()
                .map(|(name, value)| (name.into_owned(), value.into_owned()))
                .collect(),
        })
    }

    /// A numeric query parameter; `Ok(None)` if it is absent.
    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, Refusal> {
        let Some((_, text)) = self.query.iter().find(|(key, _)| key == name) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| refuse(400, format!("`{name}` is not a number: `{text}`")))
    }

    /// The body as JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body)
            .map_err(|error| refuse(400, format!("invalid body: {error}")))
    }

    /// The segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// An error response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    message: String,
    pub(crate) status: u16,
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        json(refusal.status, &value!({ "error": refusal.message }))
    }
}

/// Makes an error response.
pub(crate) fn refuse(status: u16, message: impl Into<String>) -> Refusal {
    Refusal {
        message: message.into(),
        status,
    }
}

/// The response to an unknown path or method.
pub(crate) fn not_found(request: &Request) -> Refusal {
    refuse(
        404,
        format!("no `{}` on `{}`", request.method, request.path),
    )
}

/// The response to a request that succeeded and returns nothing: an empty JSON object.
pub(crate) fn success() -> Response {
    json(200, &Value::Object(serde_json::Map::new()))
}
