use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::id::Tokens;

/// What a caller says about its prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
    /// Tokens to read.
    pub tokens: Tokens,
}

/// A caller's request after its headers were decoded.
#[derive(Clone, Debug)]
pub struct Request {
    /// Whole body.
    pub body: Bytes,
    /// Time that the caller is going to wait, if it says so.
    pub deadline: Option<Duration>,
    /// Headers to hand on unchanged.
    pub headers: HeaderMap,
    /// Host that the caller names.
    pub host: String,
    /// Id of this attempt of the caller.
    pub id: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Size of the prompt, for requests to engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Path and query exactly as they came.
    pub path_and_query: String,
}

impl Default for Request {
    fn default() -> Request {
        Request {
            body: Bytes::new(),
            deadline: None,
            headers: HeaderMap::new(),
            host: String::new(),
            id: String::new(),
            key: None,
            method: Method::GET,
            path: "/".into(),
            prompt: None,
            last_event_id: None,
            path_and_query: "/".into(),
        }
    }
}
