//! Guards against streams and memory that a target keeps for a caller that has left.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};

use fleet::{check_serving, panic_count, send, start_fleet, wait_until};
use jujubehook::load::Fleet;
use serde_json::json;

/// Sends a request whose answer takes seconds, reads `read` bytes of it and leaves on the message of `go`.
async fn leave(entry: SocketAddr, prompt: usize, stream: bool, read: usize, go: Receiver<()>) {
    let body = json!({
        "model": "resin", "prompt": "a".repeat(prompt), "max_tokens": 1_000, "stream": stream,
    })
    .to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-0\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    smol::unblock(move || {
        let mut caller = TcpStream::connect(entry).unwrap();
        caller.write_all(head.as_bytes()).unwrap();
        caller.write_all(body.as_bytes()).unwrap();
        caller.read_exact(&mut vec![0; read]).unwrap();
        go.recv().unwrap();
    })
    .await;
}

/// Streams, reserved memory and handles at the engines; the prefix cache may keep what it likes.
async fn used(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for (.., address) in fleet.engines() {
        let stats = fleet.stats(address).await.unwrap();
        let memory = &stats["memory"];
        for count in [
            &stats["running"],
            &memory["streams"],
            &memory["reserved"],
            &memory["handles"],
        ] {
            sum += count.as_u64().unwrap();
        }
    }
    sum
}

async fn cancelled(entry: SocketAddr) -> u64 {
    let page = send(entry, "GET", "/metrics", &[], "").await.body;
    let page = String::from_utf8(page).unwrap();
    let counts = page
        .lines()
        .filter(|line| line.starts_with("jujubehook_requests_total") && line.contains("cancelled"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}

#[test]
fn caller_leaves() {
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        check_serving(&fleet).await;
        let idle = used(&fleet).await;
        assert_eq!(idle, 0);
        for entry in fleet.entries() {
            // Before the head of a whole answer, before the first token of a long prefill, and within a stream.
            for (count, (prompt, stream, read)) in
                [(8, false, 0), (2_000_000, true, 0), (8, true, 2_000)]
                    .into_iter()
                    .enumerate()
            {
                // A caller that left after a fixed time could be gone before an engine was seen at work.
                let (go, gone) = channel();
                let work = leave(entry, prompt, stream, read, gone);
                let busy = async {
                    wait_until(async || used(&fleet).await > 0).await;
                    go.send(()).unwrap();
                };
                futures_lite::future::zip(work, busy).await;
                wait_until(async || used(&fleet).await == 0).await;
                let count = count as u64 + 1;
                wait_until(async || cancelled(entry).await == count).await;
            }
            let headers = [("x-peer-key", fleet.peer_key())];
            let status = send(entry, "GET", "/peer/status", &headers, "").await;
            let status: serde_json::Value = serde_json::from_slice(&status.body).unwrap();
            assert_eq!(status["requests"], 0);
        }
        check_serving(&fleet).await;
        assert_eq!(panic_count(), 0);
    });
}
