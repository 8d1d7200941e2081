use serde::Deserialize;

use crate::error::{Error, Kind};
use crate::id::Tokens;

/// Tokens generated if the caller names no number, as in the published interface.
const DEFAULT_TOKENS: Tokens = 16;

/// Shape of a completion request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Form {
    Chat,
    Text,
}

/// A completion request as the caller sent it. Unknown fields are ignored, as in the published interface.
#[derive(Debug, Deserialize)]
pub(super) struct Prompt {
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

impl Prompt {
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

    /// Tokens to generate, checked against the limit.
    pub(super) fn max_tokens(&self, limit: Tokens) -> Result<Tokens, Error> {
        let tokens = self
            .max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(DEFAULT_TOKENS);
        if (1..=limit).contains(&tokens) {
            return Ok(tokens);
        }
        let message = format!("`max_tokens` is {tokens}, must be 1 to {limit}");
        Err(Error::new(Kind::BadRequest, message))
    }

    pub(super) fn model(&self) -> &str {
        &self.model
    }

    /// The prompt as one text.
    pub(super) fn text(self, form: Form) -> Result<String, Error> {
        let text = match form {
            Form::Chat => self.messages.map(|messages| transcript(&messages)),
            Form::Text => self.prompt,
        };
        match text {
            Some(text) if !text.is_empty() => Ok(text),
            Some(_) | None => {
                let field = match form {
                    Form::Chat => "messages",
                    Form::Text => "prompt",
                };
                let message = format!("`{field}` must be given and not be empty");
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
