use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::http_types::{Mime, Response};
use jujubehook_http::{json, pipe, Peer, Writer};
use serde_json::{json, Value};

use super::error_response;
use super::payload::Endpoint;
use crate::daemon::answer::{Answer, Element};
use crate::daemon::state::{Admission, State};
use crate::error::{Error, Kind};
use crate::event;
use crate::event::hex;
use crate::id::{ModelId, RequestId, Tokens};
use crate::target::Class;

/// An admitted completion request, with what its response, metrics and log events need.
pub(super) struct Exchange {
    pub(super) _admission: Admission,
    pub(super) class: Class,
    pub(super) endpoint: Endpoint,
    pub(super) id: RequestId,
    pub(super) model: ModelId,
    pub(super) prompt: Tokens,
    pub(super) start: Duration,
    pub(super) state: Arc<State>,
}

impl Exchange {
    /// One event of the stream; `None` makes the last one.
    fn chunk(&self, text: Option<&str>) -> Value {
        let finish = text.is_none().then_some("length");
        let choice = match self.endpoint {
            Endpoint::Chat => match text {
                Some(text) => {
                    json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
                }
                None => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            },
            Endpoint::Text => {
                json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
            }
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        json!({"id": self.response_id(), "object": object, "model": self.model, "choices": [choice]})
    }

    fn body(&self, text: &str, cached: u64, count: u64) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Text => "text_completion",
        };
        json!({
            "id": self.response_id(),
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": count, "cached_tokens": cached},
        })
    }

    fn response_id(&self) -> String {
        format!("cmpl-{:016x}", self.id)
    }

    fn record_first_token(&self) {
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

    /// Records a token; `last` is the time of the previous one and is set to now.
    fn record_token(&self, last: &mut Option<Duration>) {
        let now = self.state.clock.now();
        let gap = last.replace(now).map(|last| now.saturating_sub(last));
        self.state.metrics.count_token(gap);
    }

    fn record_end(&self, error: Option<&Error>) {
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

/// Responds with server-sent events. A failure before the first token becomes an ordinary error response.
pub(super) async fn respond_streamed(
    exchange: Exchange,
    mut answer: Answer,
    peer: &Peer,
) -> Response {
    let first = match peer.run_until_closed(answer.next()).await {
        Ok(Ok(element)) => element,
        Ok(Err(error)) => {
            exchange.record_end(Some(&error));
            return error_response(&error);
        }
        Err(_) => return disconnected(&exchange),
    };
    exchange.record_first_token();
    let (writer, body) = pipe();
    let peer = peer.clone();
    smol::spawn(async move {
        let outcome = peer
            .run_until_closed(relay(&exchange, answer, first, &writer))
            .await;
        let error = match outcome {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error),
            Err(_) => Some(Error::new(Kind::Cancelled, "the caller disconnected")),
        };
        if let Some(error) = &error {
            let data = serde_json::to_string(&error.answer()).unwrap_or_default();
            let _ = writer.send(format!("data: {data}\n\n")).await;
        }
        exchange.record_end(error.as_ref());
    })
    .detach();
    let mut response = Response::new(200);
    response.set_body(body);
    if let Ok(mime) = "text/event-stream".parse::<Mime>() {
        response.set_content_type(mime);
    }
    response
}

/// Responds with one JSON body once the answer is complete.
pub(super) async fn respond_whole(exchange: Exchange, answer: Answer, peer: &Peer) -> Response {
    match peer.run_until_closed(collect(&exchange, answer)).await {
        Ok(Ok(body)) => {
            exchange.record_end(None);
            json(200, &body)
        }
        Ok(Err(error)) => {
            exchange.record_end(Some(&error));
            error_response(&error)
        }
        Err(_) => disconnected(&exchange),
    }
}

async fn collect(exchange: &Exchange, mut answer: Answer) -> Result<Value, Error> {
    let mut text = String::new();
    let mut last = None;
    loop {
        match answer.next().await? {
            Element::End { cached, count } => return Ok(exchange.body(&text, cached, count)),
            Element::Token { text: token } => {
                if text.is_empty() {
                    exchange.record_first_token();
                }
                exchange.record_token(&mut last);
                text.push_str(&token);
            }
        }
    }
}

async fn relay(
    exchange: &Exchange,
    mut answer: Answer,
    first: Element,
    writer: &Writer,
) -> Result<(), Error> {
    let mut element = first;
    let mut last_token = None;
    loop {
        match element {
            Element::Token { text } => {
                exchange.record_token(&mut last_token);
                send(writer, &exchange.chunk(Some(&text))).await?;
            }
            Element::End { cached, count } => {
                let mut last = exchange.chunk(None);
                last["usage"] = json!({"completion_tokens": count, "cached_tokens": cached});
                send(writer, &last).await?;
                return write(writer, "data: [DONE]\n\n".into()).await;
            }
        }
        element = answer.next().await?;
    }
}

async fn send(writer: &Writer, value: &Value) -> Result<(), Error> {
    write(writer, format!("data: {value}\n\n")).await
}

async fn write(writer: &Writer, data: String) -> Result<(), Error> {
    writer
        .send(data)
        .await
        .map_err(|_| Error::new(Kind::Cancelled, "the caller disconnected"))
}

fn disconnected(exchange: &Exchange) -> Response {
    let error = Error::new(Kind::Cancelled, "the caller disconnected");
    exchange.record_end(Some(&error));
    error_response(&error)
}
