//! A request with its body read and its path split.

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, read, Error};
use serde::de::DeserializeOwned;
use serde_json::{json as value, Value};

/// Largest accepted body in bytes: a prompt of 4,000,000 tokens with JSON overhead.
const BODY_LIMIT: usize = 24 << 20;

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<String>,
    pub(crate) method: Method,
    path: String,
    query: Vec<(String, String)>,
}

impl Ask {
    /// Reads the body.
    pub(crate) async fn read(mut request: Request) -> Result<Self, Error> {
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
            .map_err(|_| refuse(400, format!("`{name}` is no number: `{text}`")))
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

/// An error answer.
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

/// Makes an error answer.
pub(crate) fn refuse(status: u16, message: impl Into<String>) -> Refusal {
    Refusal {
        message: message.into(),
        status,
    }
}

/// The answer to a path or method that does not exist.
pub(crate) fn unknown(ask: &Ask) -> Refusal {
    refuse(404, format!("no `{}` on `{}`", ask.method, ask.path))
}

/// A success answer without content.
pub(crate) fn done() -> Response {
    json(200, &Value::Object(serde_json::Map::new()))
}
