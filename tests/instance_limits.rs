//! Guards against an unbounded number of requests, or of body bytes, on one instance.

mod fleet;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

use fleet::{check_serving, expected_error, send, start_fleet, wait_until};
use jujubehook::daemon::Daemon;
use jujubehook::event;
use jujubehook::load::Fleet;
use jujubehook::settings::{Limits, Network, Queue, Settings};
use serde_json::{json, Value};

/// Limit of one body, and of the sum of all bodies, in the second case.
const MAX_BYTES: usize = 4 << 10;

/// Starts an instance that is not in the list and has a domain without targets, so that it forwards every request.
async fn start_instance(fleet: &Fleet, limits: Limits) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap();
    drop(listener);
    let daemon = Daemon::start(Settings {
        domain: "south".into(),
        instance: "guarded".into(),
        limits,
        listen,
        log: event::Settings::default(),
        network: Network {
            list: fleet.list(),
            log: fleet.log(),
            ..Network::default()
        },
        peer_key: fleet.peer_key().into(),
        policy: "affinity".into(),
        queue: Queue::default(),
    })
    .await
    .unwrap();
    wait_until(async || daemon.is_ready()).await;
    daemon
}

/// Sends a request without the last byte of its body, which keeps it open.
fn open_request(entry: SocketAddr, bytes: usize) -> TcpStream {
    let mut caller = TcpStream::connect(entry).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-0\r\ncontent-length: {}\r\n\r\n",
        bytes + 1
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&vec![b'a'; bytes]).unwrap();
    caller
}

/// Number of requests that are open on an instance.
async fn open_requests(fleet: &Fleet, entry: SocketAddr) -> Value {
    let headers = [("x-peer-key", fleet.peer_key())];
    let status = send(entry, "GET", "/peer/status", &headers, "").await.body;
    let status: Value = serde_json::from_slice(&status).unwrap();
    status["requests"].clone()
}

#[test]
fn instance_limits() {
    smol::block_on(async {
        let fleet = start_fleet(1).await;
        for (limits, body_bytes) in [
            (
                Limits {
                    requests: 2,
                    ..Limits::default()
                },
                10,
            ),
            (
                Limits {
                    body_bytes: MAX_BYTES,
                    memory_bytes: MAX_BYTES,
                    ..Limits::default()
                },
                MAX_BYTES / 2 - 20,
            ),
        ] {
            let daemon = start_instance(&fleet, limits).await;
            let entry = daemon.address();
            let headers = [("authorization", "Bearer key-0")];
            let body = json!({"model": "resin", "prompt": "hello", "max_tokens": 1, "pad": "a".repeat(60)});
            let body = body.to_string();
            let ask =
                async || send(entry, "POST", "/v1/completions", &headers, body.as_str()).await;
            assert_eq!(ask().await.status, 200);
            let callers: Vec<_> = (0..2).map(|_| open_request(entry, body_bytes)).collect();
            wait_until(async || open_requests(&fleet, entry).await == 2).await;
            wait_until(async || ask().await.error() == expected_error("overloaded")).await;
            drop(callers);
            wait_until(async || ask().await.status == 200).await;
            wait_until(async || open_requests(&fleet, entry).await == 0).await;
            drop(daemon);
        }
        check_serving(&fleet).await;
    });
}
