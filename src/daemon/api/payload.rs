use serde::Deserialize;

use crate::error::{Error, Kind};
use crate::id::Tokens;

/// Tokens to generate if the caller gives no number, as in the published completions API.
const DEFAULT_TOKENS: Tokens = 16;

/// Completion endpoint that was called; it decides the shape of request and response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Endpoint {
    Chat,
    Text,
}

/// Body of a completion request as the caller sent it. Unknown fields are ignored, as in the published completions API.
#[derive(Debug, Deserialize)]
pub(super) struct Payload {
    adapter: Option<String>,
    max_completion_tokens: Option<Tokens>,
    max_tokens: Option<Tokens>,
    messages: Option<Vec<Message>>,
    model: String,
    prompt: Option<String>,
    #[serde(default)]
    stream: bool,
    version: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
    role: String,
}

impl Payload {
    pub(super) fn parse(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes)
            .map_err(|error| Error::new(Kind::BadRequest, format!("invalid body: {error}")))
    }

    pub(super) fn adapter(&self) -> Option<&str> {
        self.adapter.as_deref()
    }

    pub(super) fn is_stream(&self) -> bool {
        self.stream
    }

    /// Number of tokens to generate, checked against `limit`.
    pub(super) fn max_tokens(&self, limit: Tokens) -> Result<Tokens, Error> {
        let tokens = self
            .max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(DEFAULT_TOKENS);
        if (1..=limit).contains(&tokens) {
            return Ok(tokens);
        }
        let message = format!("`max_tokens` is {tokens}, must be between 1 and {limit}");
        Err(Error::new(Kind::BadRequest, message))
    }

    pub(super) fn model(&self) -> &str {
        &self.model
    }

    /// The prompt as one text; the messages of a chat are joined into a transcript.
    pub(super) fn text(self, endpoint: Endpoint) -> Result<String, Error> {
        let text = match endpoint {
            Endpoint::Chat => self.messages.map(|messages| transcript(&messages)),
            Endpoint::Text => self.prompt,
        };
        match text {
            Some(text) if !text.is_empty() => Ok(text),
            Some(_) | None => {
                let field = match endpoint {
                    Endpoint::Chat => "messages",
                    Endpoint::Text => "prompt",
                };
                let message = format!("`{field}` must be present and not empty");
                Err(Error::new(Kind::BadRequest, message))
            }
        }
    }

    pub(super) fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }
}

fn transcript(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}
