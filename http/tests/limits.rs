//! Guards against input that stops a server or grows without bound below the handlers.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{read, text, Client, Limits, Peer, Server};

fn free() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Sends bytes and returns everything that comes back until the server closes or nothing comes for a second.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    // The server may close before it has taken everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

async fn ok(_: Request, _: Peer) -> Response {
    text(200, "ok")
}

#[test]
fn bad_heads() {
    let server = smol::block_on(Server::start(free(), ok)).unwrap();
    let good = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let long = "a".repeat(64 << 10);
    let heads = [
        "GET / HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n".to_owned(),
        "GET /\u{e9} HTTP/1.1\r\nhost: a\r\n\r\n".to_owned(),
        format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "a".repeat(9 << 10)),
        format!("GET / HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n"),
        long,
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_owned(),
        "\0\r\n\r\n".to_owned(),
    ];
    for head in &heads {
        let answer = exchange(server.address(), head.as_bytes());
        assert_eq!(answer, "", "{head:.60}");
        let answer = exchange(server.address(), good.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200"), "after {head:.60}");
    }
}

/// Reads the whole body; the answer is larger than the buffers of a connection.
async fn large(mut request: Request, _: Peer) -> Response {
    match read(request.take_body(), 1 << 20).await {
        Ok(_) => text(200, "a".repeat(32 << 20)),
        Err(_) => text(400, "cut off"),
    }
}

#[test]
fn stalled_peers() {
    let limits = Limits {
        connections: 1,
        stall: Duration::from_millis(300),
    };
    let server = smol::block_on(Server::start_with(free(), limits, large)).unwrap();
    // Each one holds the only connection: an empty head, half a body, an answer that is not read.
    for sent in [
        "",
        "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    ] {
        let mut idle = TcpStream::connect(server.address()).unwrap();
        idle.write_all(sent.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        let start = Instant::now();
        let answer = exchange(
            server.address(),
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        );
        assert!(answer.starts_with("HTTP/1.1 200"), "{sent:?}");
        assert!(start.elapsed() >= Duration::from_millis(200), "{sent:?}");
    }
}

#[test]
fn endless_body() {
    let limits = Limits {
        connections: 1,
        stall: Duration::from_millis(300),
    };
    let server = smol::block_on(Server::start_with(free(), limits, ok)).unwrap();
    let mut caller = TcpStream::connect(server.address()).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    let start = Instant::now();
    // The answer comes at once; the body that no handler reads must not hold the connection.
    while caller.write_all(b"a").is_ok() {
        assert!(start.elapsed() < Duration::from_secs(5), "never closed");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(start.elapsed() > Duration::from_millis(250));
}

#[test]
fn bad_answers() {
    smol::block_on(async {
        for head in [
            "HTTP/1.1 200 OK\r\nx: \u{e9}\r\n\r\n".to_owned(),
            "a".repeat(64 << 10),
        ] {
            let listener = smol::net::TcpListener::bind(free()).await.unwrap();
            let address = listener.local_addr().unwrap();
            let target = smol::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = futures_lite::AsyncWriteExt::write_all(&mut stream, head.as_bytes()).await;
                stream
            });
            let request = Client::request(Method::Get, address, "/").unwrap();
            let outcome = Client::default().stream(address, request).await;
            assert!(outcome.is_err());
            drop(target.await);
        }
    });
}
