use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{Mime, Response};
use jujubehook_http::{json, pipe, Peer, Writer};
use serde_json::{json, Value};

use super::failed;
use super::prompt::Form;
use crate::daemon::answer::{Answer, Step};
use crate::daemon::state::{Active, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{ModelId, RequestId, Tokens};
use crate::target::Class;

/// A request in progress and what its answer says about it.
pub(super) struct Call {
    pub(super) _active: Active,
    pub(super) class: Class,
    pub(super) form: Form,
    pub(super) id: RequestId,
    pub(super) model: ModelId,
    pub(super) prompt: Tokens,
    pub(super) start: Duration,
    pub(super) state: Arc<State>,
}

impl Call {
    fn chunk(&self, text: Option<&str>) -> Value {
        let finish = text.is_none().then_some("length");
        let choice = match self.form {
            Form::Chat => match text {
                Some(text) => {
                    json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
                }
                None => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            },
            Form::Text => {
                json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
            }
        };
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        };
        json!({"id": self.name(), "object": object, "model": self.model, "choices": [choice]})
    }

    fn body(&self, text: &str, cached: u64, count: u64) -> Value {
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        let object = match self.form {
            Form::Chat => "chat.completion",
            Form::Text => "text_completion",
        };
        json!({
            "id": self.name(),
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": count, "cached_tokens": cached},
        })
    }

    fn name(&self) -> String {
        format!("cmpl-{:016x}", self.id)
    }

    fn first_token(&self) {
        let elapsed = self.state.clock.now().saturating_sub(self.start);
        self.state
            .metrics
            .observe_first_token(self.class.name(), elapsed);
        event!(
            self.state.source,
            "first_token",
            request = hex(self.id),
            elapsed_ms = elapsed.as_millis() as u64
        );
    }

    /// Counts a token; `last` is the time of the one before.
    fn token(&self, last: &mut Option<Duration>) {
        let now = self.state.clock.now();
        let gap = last.replace(now).map(|last| now.saturating_sub(last));
        self.state.metrics.count_token(gap);
    }

    fn ended(&self, error: Option<&Error>) {
        let elapsed = self.state.clock.now().saturating_sub(self.start);
        let kind = error.map(Error::kind);
        self.state
            .metrics
            .count_request(self.class.name(), self.prompt, kind);
        event!(
            self.state.source,
            "ended",
            request = hex(self.id),
            outcome = kind.map_or("ok", Kind::name),
            reason = error.map_or("", Error::log_message),
            elapsed_ms = elapsed.as_millis() as u64
        );
    }
}

/// Answers with server-sent events. A failure before the first token is an ordinary error answer.
pub(super) async fn streamed(call: Call, mut answer: Answer, peer: &Peer) -> Response {
    let first = match peer.run_until_closed(answer.next()).await {
        Ok(Ok(step)) => step,
        Ok(Err(error)) => {
            call.ended(Some(&error));
            return failed(&error);
        }
        Err(_) => return left(&call),
    };
    call.first_token();
    let (writer, body) = pipe();
    let peer = peer.clone();
    smol::spawn(async move {
        let outcome = peer
            .run_until_closed(relay(&call, answer, first, &writer))
            .await;
        let error = match outcome {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error),
            Err(_) => Some(Error::new(Kind::Cancelled, "the caller left")),
        };
        if let Some(error) = &error {
            let data = serde_json::to_string(&error.answer()).unwrap_or_default();
            let _ = writer.send(format!("data: {data}\n\n")).await;
        }
        call.ended(error.as_ref());
    })
    .detach();
    let mut response = Response::new(200);
    response.set_body(body);
    if let Ok(mime) = "text/event-stream".parse::<Mime>() {
        response.set_content_type(mime);
    }
    response
}

/// Answers with one body once the answer is complete.
pub(super) async fn whole(call: Call, answer: Answer, peer: &Peer) -> Response {
    match peer.run_until_closed(collect(&call, answer)).await {
        Ok(Ok(body)) => {
            call.ended(None);
            json(200, &body)
        }
        Ok(Err(error)) => {
            call.ended(Some(&error));
            failed(&error)
        }
        Err(_) => left(&call),
    }
}

async fn collect(call: &Call, mut answer: Answer) -> Result<Value, Error> {
    let mut text = String::new();
    let mut last = None;
    loop {
        match answer.next().await? {
            Step::End { cached, count } => return Ok(call.body(&text, cached, count)),
            Step::Token { text: token } => {
                if text.is_empty() {
                    call.first_token();
                }
                call.token(&mut last);
                text.push_str(&token);
            }
        }
    }
}

async fn relay(call: &Call, mut answer: Answer, first: Step, writer: &Writer) -> Result<(), Error> {
    let mut step = first;
    let mut last_token = None;
    loop {
        match step {
            Step::Token { text } => {
                call.token(&mut last_token);
                send(writer, &call.chunk(Some(&text))).await?;
            }
            Step::End { cached, count } => {
                let mut last = call.chunk(None);
                last["usage"] = json!({"completion_tokens": count, "cached_tokens": cached});
                send(writer, &last).await?;
                return write(writer, "data: [DONE]\n\n".into()).await;
            }
        }
        step = answer.next().await?;
    }
}

async fn send(writer: &Writer, value: &Value) -> Result<(), Error> {
    write(writer, format!("data: {value}\n\n")).await
}

async fn write(writer: &Writer, data: String) -> Result<(), Error> {
    writer
        .send(data)
        .await
        .map_err(|_| Error::new(Kind::Cancelled, "the caller left"))
}

fn left(call: &Call) -> Response {
    let error = Error::new(Kind::Cancelled, "the caller left");
    call.ended(Some(&error));
    failed(&error)
}
