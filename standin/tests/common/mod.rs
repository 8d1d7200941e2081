//! Helpers to start stand-ins and to send requests to them.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use jujubehook_http::http_types::{Body, Method, Response};
use jujubehook_http::{with_timeout, Client, Error, Events, Reuse};
use jujubehook_standin::{engine, Engine};
use serde_json::{json, Value};
use smol::Timer;

/// Longest time that a test waits for a response or condition.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the statistics are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of a warm, fast engine.
pub(crate) fn fast_engine() -> engine::Settings {
    engine::Settings {
        boot: 1,
        cold: false,
        decode_rate: 1_000.0,
        lag_ms: 0,
        prefill_rate: 10_000_000.0,
        ..engine::Settings::default()
    }
}

pub(crate) async fn engine(settings: engine::Settings) -> Engine {
    Engine::start(loopback(), settings).await.unwrap()
}

pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), Error> {
    let mut request = Client::request(method, address, path)?;
    if let Some(body) = body {
        request.set_body(body.to_string());
    }
    let client = Client::default();
    let call = client.fetch(address, request, Reuse::Never, 1 << 26);
    let (response, bytes) = with_timeout(TIMEOUT, call).await?;
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok((response.status().into(), value))
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    send(address, Method::Get, path, None).await.unwrap()
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: Value) -> (u16, Value) {
    let response = send(address, Method::Post, path, Some(&body)).await;
    response.unwrap()
}

pub(crate) async fn delete(address: SocketAddr, path: &str) -> u16 {
    send(address, Method::Delete, path, None).await.unwrap().0
}

pub(crate) async fn fault(address: SocketAddr, switches: Value) {
    assert_eq!(post(address, "/fault", switches).await.0, 200);
}

pub(crate) async fn stats(address: SocketAddr) -> Value {
    get(address, "/stats").await.1
}

/// Waits until the statistics satisfy a condition, and returns them.
pub(crate) async fn wait_until(
    address: SocketAddr,
    what: &str,
    condition: impl Fn(&Value) -> bool,
) -> Value {
    let poll = async {
        loop {
            let value = stats(address).await;
            if condition(&value) {
                return Ok(value);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let value = with_timeout(TIMEOUT, poll).await;
    value.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Waits until a stand-in responds again after an outage.
pub(crate) async fn wait_until_back(address: SocketAddr) -> Value {
    let poll = async {
        loop {
            match send(address, Method::Get, "/stats", None).await {
                Ok((200, value)) => return Ok(value),
                Ok(_) | Err(_) => Timer::after(POLL_INTERVAL).await,
            };
        }
    };
    with_timeout(TIMEOUT, poll).await.unwrap()
}

/// The body of a completions request.
pub(crate) fn request(attempt: u64, prompt: &str, max_tokens: u64) -> Value {
    json!({
        "attempt": format!("{attempt:016x}"),
        "max_tokens": max_tokens,
        "model": "m",
        "prompt": prompt,
        "stream": true,
    })
}

/// Sends a completions request and returns the reader of its stream.
pub(crate) async fn open(address: SocketAddr, body: &Value) -> Reader {
    let response = try_open(address, body).await.unwrap();
    assert_eq!(u16::from(response.status()), 200);
    Reader::new(response)
}

pub(crate) async fn try_open(address: SocketAddr, body: &Value) -> Result<Response, Error> {
    let mut request = Client::request(Method::Post, address, "/v1/completions")?;
    request.set_body(body.to_string());
    with_timeout(TIMEOUT, Client::default().stream(address, request)).await
}

/// Reads the stream of a running or finished attempt from token `from` on.
pub(crate) async fn resume(address: SocketAddr, attempt: u64, from: u64) -> Reader {
    let path = format!("/v1/streams/{attempt:016x}?from={from}");
    let request = Client::request(Method::Get, address, &path).unwrap();
    let response = Client::default().stream(address, request).await.unwrap();
    assert_eq!(u16::from(response.status()), 200);
    Reader::new(response)
}

/// Sends a completions request and reads its stream to the end.
pub(crate) async fn complete(address: SocketAddr, body: &Value) -> End {
    open(address, body).await.end().await
}

/// Reads a stream; dropping it closes the connection.
pub(crate) struct Reader {
    events: Events<Body>,
}

/// A stream that was read to its end.
#[derive(Debug, Default)]
pub(crate) struct End {
    /// The final event, unless the stream was cut off.
    pub(crate) finish: Option<Value>,
    pub(crate) text: String,
}

impl End {
    /// Prompt tokens that the prefix cache held.
    pub(crate) fn cached(&self) -> u64 {
        self.finish.as_ref().unwrap()["cached"].as_u64().unwrap()
    }
}

impl Reader {
    fn new(mut response: Response) -> Self {
        Self {
            events: Events::new(response.take_body()),
        }
    }

    /// The next event, or `None` if the stream has ended or was cut off.
    pub(crate) async fn next(&mut self) -> Option<Value> {
        let event = with_timeout(TIMEOUT, self.events.next()).await.ok()??;
        serde_json::from_str(&event).ok()
    }

    /// Reads the stream to its end.
    pub(crate) async fn end(mut self) -> End {
        let mut end = End::default();
        while let Some(event) = self.next().await {
            match event["text"].as_str() {
                Some(text) => end.text.push_str(text),
                None => end.finish = Some(event),
            }
        }
        end
    }
}
