use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::id::Tokens;

/// Size of a prompt, as stated by the caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Maximum number of tokens in the answer.
    pub max_tokens: Tokens,
    /// Tokens of the prompt.
    pub tokens: Tokens,
}

/// A caller's request with decoded headers.
#[derive(Clone, Debug)]
pub struct Request {
    /// Body.
    pub body: Bytes,
    /// Time for which the caller waits, if stated.
    pub deadline: Option<Duration>,
    /// Headers to forward to the target.
    pub headers: HeaderMap,
    /// Host.
    pub host: String,
    /// Id of this attempt by the caller.
    pub id: String,
    /// API key.
    pub key: Option<String>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Path and query exactly as received.
    pub path_and_query: String,
    /// Size of the prompt, for requests to engines.
    pub prompt: Option<Prompt>,
    /// Ids of the prompt's fragments that other requests may have too.
    pub shared_fragments: Vec<String>,
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
            last_event_id: None,
            method: Method::GET,
            path: "/".into(),
            path_and_query: "/".into(),
            prompt: None,
            shared_fragments: Vec::new(),
        }
    }
}
