//! Guards against corrupt heads, chunks and JSON bodies, of a caller or a peer, that stop an instance.

mod fleet;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use fastrand::Rng;
use fleet::{check_serving, panic_count, start_fleet};

const SEEDS: u64 = 1_500;

/// A valid request of a caller or a peer.
fn valid_request(rng: &mut Rng) -> Vec<u8> {
    let bodies = [
        r#"{"model":"resin","prompt":"hello","max_tokens":1,"stream":true}"#,
        r#"{"model":"resin","messages":[{"role":"user","content":"hello"}],"max_tokens":1}"#,
    ];
    let paths = [
        "/v1/completions",
        "/v1/chat/completions",
        "/v1/services/seats/look",
        "/peer/once",
    ];
    let body = rng.choice(bodies).unwrap();
    let path = rng.choice(paths).unwrap();
    let framed = match rng.bool() {
        true => format!("content-length: {}\r\n\r\n{body}", body.len()),
        false => format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
    };
    let keys = "authorization: Bearer key-0\r\nx-peer-key: peer key of an embedded fleet\r\n";
    format!("POST {path} HTTP/1.1\r\nhost: a\r\nx-deadline-ms: 500\r\n{keys}{framed}").into_bytes()
}

/// Truncates, inserts, repeats or replaces bytes at random positions.
fn corrupt(rng: &mut Rng, bytes: &mut Vec<u8>) {
    for _ in 0..rng.usize(1..4) {
        let at = rng.usize(..bytes.len());
        match rng.u8(..4) {
            0 => bytes.truncate(at + 1),
            1 => bytes.insert(at, rng.u8(..)),
            2 => bytes.extend_from_within(at..),
            _ => bytes[at] = rng.u8(..),
        }
    }
}

/// Sends bytes, closes the sending side, and returns the response until the end of the connection.
fn exchange(entry: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(entry).unwrap();
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).unwrap();
    let mut answer = Vec::new();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn corrupt_requests() {
    let fleet = smol::block_on(start_fleet(1));
    let entry = fleet.entries()[0];
    let answered = std::sync::atomic::AtomicU64::new(0);
    bolero::check!()
        .exhaustive()
        .with_generator(0..SEEDS)
        .for_each(|seed| {
            let mut rng = Rng::with_seed(*seed);
            let mut bytes = valid_request(&mut rng);
            corrupt(&mut rng, &mut bytes);
            let answer = exchange(entry, &bytes);
            let answer = String::from_utf8_lossy(&answer);
            // The HTTP library has no status 499, so a caller that only closes its sending side gets 500 instead.
            let is_fault = answer.starts_with("HTTP/1.1 500") && !answer.contains("\"cancelled\"");
            assert!(!is_fault, "seed {seed}: {answer}");
            let count = u64::from(answer.starts_with("HTTP/1.1 "));
            answered.fetch_add(count, std::sync::atomic::Ordering::Relaxed);
            assert_eq!(panic_count(), 0, "seed {seed}");
        });
    let answered = answered.into_inner();
    assert!(answered > SEEDS / 4 && answered < SEEDS, "{answered}");
    smol::block_on(check_serving(&fleet));
}
