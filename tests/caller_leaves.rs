//! Guards against streams and memory that a target keeps for a caller that has closed its connection.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};

use fleet::{check_serving, panic_count, send, start_fleet, wait_until};
use jujubehook::load::Fleet;
use serde_json::json;

/// Sends a request whose response takes seconds, reads `read` bytes of it, and closes the connection at the message of
/// `signal`.
async fn send_and_leave(
    entry: SocketAddr,
    prompt: usize,
    stream: bool,
    read: usize,
    signal: Receiver<()>,
) {
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
        signal.recv().unwrap();
    })
    .await;
}

/// Sum of the streams, reserved memory and handles of all engines. The prefix cache is not counted, since it may keep
/// its entries.
async fn used_resources(fleet: &Fleet) -> u64 {
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

/// Number of cancelled requests in the metrics of an instance.
async fn cancelled_requests(entry: SocketAddr) -> u64 {
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
        let idle = used_resources(&fleet).await;
        assert_eq!(idle, 0);
        for entry in fleet.entries() {
            // The caller leaves before the head of a response that is not streamed, before the first token after a long
            // prefill, and within a stream.
            for (count, (prompt, stream, read)) in
                [(8, false, 0), (2_000_000, true, 0), (8, true, 2_000)]
                    .into_iter()
                    .enumerate()
            {
                // A caller that leaves after a fixed time could be gone before the test sees an engine at work.
                let (signal, receiver) = channel();
                let call = send_and_leave(entry, prompt, stream, read, receiver);
                let wait = async {
                    wait_until(async || used_resources(&fleet).await > 0).await;
                    signal.send(()).unwrap();
                };
                futures_lite::future::zip(call, wait).await;
                wait_until(async || used_resources(&fleet).await == 0).await;
                let count = count as u64 + 1;
                wait_until(async || cancelled_requests(entry).await == count).await;
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
