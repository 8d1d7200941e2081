//! Guards against invalid requests of callers that are executed, that stop an instance, or whose response does not
//! match the table of error kinds.

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

/// One byte more than the largest body that the default settings allow.
const OVERSIZED: usize = (8 << 20) + 1;

/// Body of a completion request with the given fields added or replaced.
fn completion(model: &str, fields: &Value) -> String {
    let mut body = json!({"model": model, "prompt": "hello", "max_tokens": 3});
    for (name, value) in fields.as_object().unwrap() {
        body[name] = value.clone();
    }
    body.to_string()
}

fn unix_seconds() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap().as_secs()
}

/// Sends a request to each instance and checks that it is refused with the error `kind`.
async fn check_refused(
    fleet: &Fleet,
    path: &str,
    headers: &[(&str, &str)],
    body: impl AsRef<[u8]>,
    kind: &str,
) {
    let mut all = vec![("authorization", "Bearer key-0")];
    all.extend(headers);
    for entry in fleet.entries() {
        let reply = send(entry, "POST", path, &all, body.as_ref()).await;
        let body = String::from_utf8_lossy(body.as_ref());
        assert_eq!(
            reply.error(),
            expected_error(kind),
            "{path} {headers:?} {body:.60}"
        );
    }
}

async fn check_bodies(fleet: &Fleet) {
    for body in [
        "",
        "{",
        "[]",
        "null",
        "\u{feff}{}",
        "{\"model\":\"resin\",\"prompt\":\"a\"} b",
    ] {
        check_refused(fleet, TEXT, &[], body, "bad_request").await;
        check_refused(fleet, CHAT, &[], body, "bad_request").await;
    }
    let deep = "[".repeat(100_000);
    check_refused(fleet, TEXT, &[], &deep, "bad_request").await;
    check_refused(fleet, TEXT, &[], b"{\"model\":\"\xff\"}", "bad_request").await;
    for fields in [
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
        check_refused(
            fleet,
            TEXT,
            &[],
            completion("resin", &fields),
            "bad_request",
        )
        .await;
    }
    for messages in [
        json!(null),
        json!([]),
        json!("a"),
        json!([{"role": "user"}]),
        json!([{"role": 1, "content": "a"}]),
        json!([{"role": "user", "content": ["a"]}]),
    ] {
        let body = completion("resin", &json!({"messages": messages}));
        check_refused(fleet, CHAT, &[], body, "bad_request").await;
    }
    for body in [vec![b'a'; OVERSIZED], vec![b'a'; 4 * OVERSIZED]] {
        check_refused(fleet, TEXT, &[], &body, "too_large").await;
        check_refused(fleet, SELL, &[], &body, "too_large").await;
    }
    let headers = [("idempotency-key", "1-a")];
    check_refused(fleet, SELL, &headers, b"\xff", "bad_request").await;
}

async fn check_chunked_body(entry: SocketAddr) {
    let body = futures_lite::io::Cursor::new(vec![b'a'; OVERSIZED]);
    let headers = [("authorization", "Bearer key-0")];
    let reply = send(entry, "POST", TEXT, &headers, Body::from_reader(body, None)).await;
    assert_eq!(reply.error(), expected_error("too_large"));
}

async fn check_keys(fleet: &Fleet) {
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
            check_refused(
                fleet,
                path,
                &headers,
                completion("resin", &json!({})),
                "unauthorized",
            )
            .await;
        }
    }
    for entry in fleet.entries() {
        let reply = send(entry, "POST", TEXT, &[], completion("resin", &json!({}))).await;
        assert_eq!(reply.error(), expected_error("unauthorized"));
    }
    let narrow = [("authorization", "Bearer narrow")];
    for (model, fields, kind) in [
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
        check_refused(fleet, TEXT, &narrow, completion(model, &fields), kind).await;
    }
}

async fn check_deadlines(fleet: &Fleet) {
    let body = completion("resin", &json!({}));
    let long = completion("resin", &json!({"prompt": "a".repeat(400_000)}));
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
        check_refused(fleet, TEXT, &headers, &body, kind).await;
        check_refused(fleet, SELL, &headers, "{}", kind).await;
    }
    // The prefill of 100,000 tokens takes an engine 200 ms.
    check_refused(
        fleet,
        TEXT,
        &[("x-deadline-ms", "20")],
        long,
        "deadline_refused",
    )
    .await;
}

async fn check_idempotency_keys(fleet: &Fleet) {
    let now = unix_seconds();
    let long = format!("{now}-{}", "a".repeat(128));
    let future = format!("{}-a", now + 120);
    let expired = format!("{}-a", now - 3_601);
    check_refused(fleet, SELL, &[], "{}", "bad_request").await;
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
        check_refused(fleet, SELL, &[("idempotency-key", key)], "{}", kind).await;
    }
}

async fn check_paths(fleet: &Fleet) {
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
            let reply = send(entry, method, path, &headers, "{}").await;
            assert_eq!(
                reply.error(),
                expected_error("bad_request"),
                "{method} {path}"
            );
        }
    }
    check_refused(
        fleet,
        "/v1/services/none/look",
        &[],
        "{}",
        "unknown_service",
    )
    .await;
}

/// Checks that a request whose body does not arrive ends at its deadline.
fn check_slow_body(entry: SocketAddr) {
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
        check_bodies(&fleet).await;
        check_chunked_body(fleet.entries()[0]).await;
        check_keys(&fleet).await;
        check_deadlines(&fleet).await;
        check_idempotency_keys(&fleet).await;
        check_paths(&fleet).await;
        check_slow_body(fleet.entries()[0]);
        assert_eq!(executed_requests(&fleet).await, before);
        check_serving(&fleet).await;
        assert_eq!(executed_requests(&fleet).await, before + 2);
        assert_eq!(panic_count(), 0);
    });
}

/// Guards against a caller that reads the outcome of another workspace with the same idempotency key.
#[test]
fn shared_key() {
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        let entry = fleet.entries()[0];
        let chosen = format!("{}-same", unix_seconds());
        let bearer = [("authorization", "Bearer key-0")];
        let issued = send(entry, "POST", "/v1/keys", &bearer, "").await.body;
        let issued: Value = serde_json::from_slice(&issued).unwrap();
        for key in [chosen.as_str(), issued["key"].as_str().unwrap()] {
            for (owner, seat) in [("Bearer key-0", "a1"), ("Bearer key-1", "b2")] {
                let headers = [("authorization", owner), ("idempotency-key", key)];
                for entry in fleet.entries() {
                    let body = json!({"seat": seat}).to_string();
                    let reply = send(entry, "POST", SELL, &headers, body).await;
                    let body: Value = serde_json::from_slice(&reply.body).unwrap();
                    assert_eq!(
                        (reply.status, &body["body"]["seat"]),
                        (200, &json!(seat)),
                        "{body}"
                    );
                }
            }
        }
        assert_eq!(executed_requests(&fleet).await, 4);
    });
}
