//! A small fleet in the test process, arbitrary requests to it, and counts of what its targets executed.

// Each test file uses a different part of this module.
#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jujubehook::load::{Caller, Fleet, Settings};
use jujubehook::record::Kind;
use jujubehook_http::http_types::{Body, Method, Request};
use jujubehook_http::{read, with_timeout, Client};
use jujubehook_standin::engine;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

/// Time limit for an answer or a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Response to a request.
#[derive(Debug)]
pub struct Reply {
    pub body: Vec<u8>,
    pub retry_after: bool,
    pub status: u16,
}

impl Reply {
    /// Kind, status, `executed` and whether there is a time to retry after, as in the table of error kinds.
    pub fn error(&self) -> (String, u16, String, bool) {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let text = |name: &str| value["error"][name].as_str().unwrap_or("none").to_owned();
        let retry_after = value["error"]["retry_after_ms"].is_u64();
        assert_eq!(retry_after, self.retry_after);
        (text("kind"), self.status, text("executed"), retry_after)
    }
}

/// What [`Reply::error`] returns for an error of `kind`, by the table of error kinds.
pub fn expected_error(kind: &str) -> (String, u16, String, bool) {
    use jujubehook::error::{Executed, Kind};

    let kind = Kind::ALL.iter().find(|row| row.name() == kind).unwrap();
    let executed = match kind.executed() {
        Executed::No => "no",
        Executed::Unknown => "unknown",
    };
    (
        kind.name().into(),
        kind.status(),
        executed.into(),
        kind.retriable(),
    )
}

/// Starts a fleet of one domain with warm and fast engines. From then on panics are counted.
pub async fn start_fleet(instances: usize) -> Fleet {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::SeqCst);
        usual(info);
    }));
    Fleet::start(Settings {
        domains: 1,
        engine: engine::Settings {
            cold: false,
            decode_rate: 200.0,
            prefill_rate: 500_000.0,
            ..engine::Settings::default()
        },
        engines: 2,
        instances,
        workspaces: 2,
        ..Settings::default()
    })
    .await
    .unwrap()
}

/// Number of panics so far, on any thread.
pub fn panic_count() -> usize {
    PANICS.load(Ordering::SeqCst)
}

/// Publishes a workspace with the key `key` and waits until it is in force on all instances.
pub async fn publish_workspace(fleet: &Fleet, key: &str, mut body: Value) {
    let digest: String = Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    body["keys"] = json!([&digest]);
    fleet
        .publish(Kind::Workspace, &digest[..8], body)
        .await
        .unwrap();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    for entry in fleet.entries() {
        wait_until(async || send(entry, "POST", "/v1/keys", &headers, "").await.status == 200)
            .await;
    }
}

/// Sends one request on a new connection.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Body>,
) -> Reply {
    let method: Method = method.parse().unwrap();
    let mut request: Request = Client::request(method, address, path).unwrap();
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    with_timeout(TIMEOUT, async {
        let mut response = Client::default().stream(address, request).await?;
        let body = read(response.take_body(), 64 << 20).await?;
        Ok(Reply {
            body,
            retry_after: response.header("retry-after").is_some(),
            status: response.status().into(),
        })
    })
    .await
    .unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Number of requests that engines and services have received.
pub async fn executed_requests(fleet: &Fleet) -> usize {
    let mut count = 0;
    for (.., address) in fleet.engines().iter().chain(&fleet.services()) {
        let stats = fleet.stats(*address).await.unwrap();
        count += stats["requests"].as_array().unwrap().len();
    }
    count
}

/// Checks that each instance answers a valid request.
pub async fn check_serving(fleet: &Fleet) {
    let caller = Caller::new("key-0");
    for entry in fleet.entries() {
        let answer = caller
            .complete(entry, "resin", "hello", 3, Duration::from_secs(5))
            .await;
        assert!(answer.is_ok() && answer.count == Some(3), "{answer:?}");
    }
}

/// Waits until `condition` holds; panics after the time limit.
pub async fn wait_until(condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "the condition does not hold in time");
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}
