//! Guards against bad input of callers that is run, that stops an instance, or whose answer says something else than
//! the table of error kinds.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime};

use fleet::{
    check_serving, executed_requests, expected_error, panic_count, publish_workspace, send,
    start_fleet,
};
use jujubehook::load::Fleet;
use jujubehook_http::http_types::Body;
use serde_json::{json, Value};

const CHAT: &str = "/v1/chat/completions";
const SELL: &str = "/v1/services/seats/sell";
const TEXT: &str = "/v1/completions";

/// Largest body of the default settings, and a little more.
const TOO_LARGE: usize = (8 << 20) + 1;

fn ask(model: &str, more: &Value) -> String {
    let mut body = json!({"model": model, "prompt": "hello", "max_tokens": 3});
    for (name, value) in more.as_object().unwrap() {
        body[name] = value.clone();
    }
    body.to_string()
}

fn unix() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap().as_secs()
}

async fn refused(
    fleet: &Fleet,
    path: &str,
    headers: &[(&str, &str)],
    body: impl AsRef<[u8]>,
    kind: &str,
) {
    let mut all = vec![("authorization", "Bearer key-0")];
    all.extend(headers);
    for entry in fleet.entries() {
        let seen = send(entry, "POST", path, &all, body.as_ref()).await;
        let body = String::from_utf8_lossy(body.as_ref());
        assert_eq!(
            seen.error(),
            expected_error(kind),
            "{path} {headers:?} {body:.60}"
        );
    }
}

async fn bodies(fleet: &Fleet) {
    for body in [
        "",
        "{",
        "[]",
        "null",
        "\u{feff}{}",
        "{\"model\":\"resin\",\"prompt\":\"a\"} b",
    ] {
        refused(fleet, TEXT, &[], body, "bad_request").await;
        refused(fleet, CHAT, &[], body, "bad_request").await;
    }
    let deep = "[".repeat(100_000);
    refused(fleet, TEXT, &[], &deep, "bad_request").await;
    refused(fleet, TEXT, &[], b"{\"model\":\"\xff\"}", "bad_request").await;
    for more in [
        json!({"model": null}),
        json!({"model": 1}),
        json!({"prompt": null}),
        json!({"prompt": ""}),
        json!({"prompt": 1}),
        json!({"prompt": ["a"]}),
        json!({"stream": "yes"}),
        json!({"adapter": 1}),
        json!({"version": []}),
        json!({"max_tokens": 0}),
        json!({"max_tokens": -1}),
        json!({"max_tokens": 1.5}),
        json!({"max_tokens": "3"}),
        json!({"max_tokens": 16_385}),
        json!({"max_tokens": u64::MAX}),
        json!({"max_tokens": null, "max_completion_tokens": 0}),
    ] {
        refused(fleet, TEXT, &[], ask("resin", &more), "bad_request").await;
    }
    for messages in [
        json!(null),
        json!([]),
        json!("a"),
        json!([{"role": "user"}]),
        json!([{"role": 1, "content": "a"}]),
        json!([{"role": "user", "content": ["a"]}]),
    ] {
        let body = ask("resin", &json!({"messages": messages}));
        refused(fleet, CHAT, &[], body, "bad_request").await;
    }
    for body in [vec![b'a'; TOO_LARGE], vec![b'a'; 4 * TOO_LARGE]] {
        refused(fleet, TEXT, &[], &body, "too_large").await;
        refused(fleet, SELL, &[], &body, "too_large").await;
    }
    let calls = [("idempotency-key", "1-a")];
    refused(fleet, SELL, &calls, b"\xff", "bad_request").await;
}

async fn chunked_body(entry: SocketAddr) {
    let body = futures_lite::io::Cursor::new(vec![b'a'; TOO_LARGE]);
    let headers = [("authorization", "Bearer key-0")];
    let seen = send(entry, "POST", TEXT, &headers, Body::from_reader(body, None)).await;
    assert_eq!(seen.error(), expected_error("too_large"));
}

async fn keys(fleet: &Fleet) {
    let grants = json!([
        {"model": "amber"},
        {"model": "resin", "adapters": ["a"], "versions": ["1"]},
    ]);
    let body = json!({"grants": grants, "limits": {"max_prompt": 100}});
    publish_workspace(fleet, "narrow", body).await;
    for key in [
        "",
        "Bearer",
        "Bearer ",
        "Bearer key-9",
        "Basic key-0",
        "bearer key-0",
        "Bearer  key-0",
    ] {
        let headers = [("authorization", key)];
        for path in [TEXT, CHAT, SELL, "/v1/keys"] {
            refused(
                fleet,
                path,
                &headers,
                ask("resin", &json!({})),
                "unauthorized",
            )
            .await;
        }
    }
    for entry in fleet.entries() {
        let seen = send(entry, "POST", TEXT, &[], ask("resin", &json!({}))).await;
        assert_eq!(seen.error(), expected_error("unauthorized"));
    }
    let narrow = [("authorization", "Bearer narrow")];
    for (model, more, kind) in [
        ("quartz", json!({}), "forbidden"),
        ("resin", json!({"adapter": "b"}), "forbidden"),
        (
            "resin",
            json!({"adapter": "a", "version": "2"}),
            "forbidden",
        ),
        ("amber", json!({}), "unknown_model"),
        ("", json!({}), "forbidden"),
        (
            "resin",
            json!({"adapter": "a", "version": "1", "prompt": "a".repeat(401)}),
            "too_large",
        ),
    ] {
        refused(fleet, TEXT, &narrow, ask(model, &more), kind).await;
    }
}

async fn deadlines(fleet: &Fleet) {
    let body = ask("resin", &json!({}));
    let long = ask("resin", &json!({"prompt": "a".repeat(400_000)}));
    for (value, kind) in [
        ("0", "deadline_refused"),
        ("", "bad_request"),
        ("-1", "bad_request"),
        ("1.5", "bad_request"),
        ("soon", "bad_request"),
        ("600001", "bad_request"),
        ("18446744073709551615", "bad_request"),
        ("18446744073709551616", "bad_request"),
    ] {
        let headers = [("x-deadline-ms", value)];
        refused(fleet, TEXT, &headers, &body, kind).await;
        refused(fleet, SELL, &headers, "{}", kind).await;
    }
    // 100,000 tokens take an engine 200 ms.
    refused(
        fleet,
        TEXT,
        &[("x-deadline-ms", "20")],
        long,
        "deadline_refused",
    )
    .await;
}

async fn idempotency(fleet: &Fleet) {
    let now = unix();
    let long = format!("{now}-{}", "a".repeat(128));
    let future = format!("{}-a", now + 120);
    let expired = format!("{}-a", now - 3_601);
    refused(fleet, SELL, &[], "{}", "bad_request").await;
    for (key, kind) in [
        ("", "bad_request"),
        ("a", "bad_request"),
        ("1", "bad_request"),
        ("1-", "bad_request"),
        ("-1", "bad_request"),
        ("+1-a", "bad_request"),
        ("1 -a", "bad_request"),
        ("k-", "bad_request"),
        ("k-entry-1-0", "bad_request"),
        ("99999999999999999999-a", "bad_request"),
        (&long, "bad_request"),
        (&expired, "key_expired"),
        (&future, "key_expired"),
        ("999999999999-a", "key_expired"),
    ] {
        refused(fleet, SELL, &[("idempotency-key", key)], "{}", kind).await;
    }
}

async fn paths(fleet: &Fleet) {
    for (method, path) in [
        ("GET", TEXT),
        ("PUT", TEXT),
        ("DELETE", SELL),
        ("GET", "/"),
        ("POST", "/metrics"),
        ("POST", "/healthz"),
        ("POST", "/v1"),
        ("POST", "/v1/completions/"),
        ("POST", "/v1/services/seats"),
        ("POST", "/v1/services//sell"),
        ("POST", "/v1/services/seats/sell/more"),
        ("POST", "/v1/services/seats/s%2e"),
        ("POST", "/v1/services/seats/%00"),
        ("GET", "/peer"),
    ] {
        for entry in fleet.entries() {
            let headers = [("authorization", "Bearer key-0")];
            let seen = send(entry, method, path, &headers, "{}").await;
            assert_eq!(
                seen.error(),
                expected_error("bad_request"),
                "{method} {path}"
            );
        }
    }
    refused(
        fleet,
        "/v1/services/none/look",
        &[],
        "{}",
        "unknown_service",
    )
    .await;
}

/// A body that does not come holds its request no longer than the deadline.
fn slow_body(entry: SocketAddr) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(entry).unwrap();
    let head = format!(
        "POST {TEXT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-0\r\nx-deadline-ms: 300\r\ncontent-length: 50\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 400");
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[test]
fn bad_input() {
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        check_serving(&fleet).await;
        let before = executed_requests(&fleet).await;
        bodies(&fleet).await;
        chunked_body(fleet.entries()[0]).await;
        keys(&fleet).await;
        deadlines(&fleet).await;
        idempotency(&fleet).await;
        paths(&fleet).await;
        slow_body(fleet.entries()[0]);
        assert_eq!(executed_requests(&fleet).await, before);
        check_serving(&fleet).await;
        assert_eq!(executed_requests(&fleet).await, before + 2);
        assert_eq!(panic_count(), 0);
    });
}

/// Guards against an outcome that a caller of another workspace can read with the same key.
#[test]
fn shared_key() {
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        let entry = fleet.entries()[0];
        let own = format!("{}-same", unix());
        let bearer = [("authorization", "Bearer key-0")];
        let issued = send(entry, "POST", "/v1/keys", &bearer, "").await.body;
        let issued: Value = serde_json::from_slice(&issued).unwrap();
        for key in [own.as_str(), issued["key"].as_str().unwrap()] {
            for (owner, seat) in [("Bearer key-0", "a1"), ("Bearer key-1", "b2")] {
                let headers = [("authorization", owner), ("idempotency-key", key)];
                for entry in fleet.entries() {
                    let body = json!({"seat": seat}).to_string();
                    let seen = send(entry, "POST", SELL, &headers, body).await;
                    let body: Value = serde_json::from_slice(&seen.body).unwrap();
                    assert_eq!(
                        (seen.status, &body["body"]["seat"]),
                        (200, &json!(seat)),
                        "{body}"
                    );
                }
            }
        }
        assert_eq!(executed_requests(&fleet).await, 4);
    });
}
