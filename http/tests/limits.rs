//! Limits that apply before a handler runs or after it: malformed heads, stalled peers, unread bodies.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{read, text, Client, Limits, Peer, Server};

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Sends bytes and returns what the server sends until it closes the connection or is silent for a second.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

async fn ok(_: Request, _: Peer) -> Response {
    text(200, "ok")
}

/// Guards against a malformed or too long head that gets a response or stops the server.
#[test]
fn bad_heads() {
    let server = smol::block_on(Server::start(any_port(), ok)).unwrap();
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
        let response = exchange(server.address(), head.as_bytes());
        assert_eq!(response, "", "{head:.60}");
        let response = exchange(server.address(), good.as_bytes());
        assert!(response.starts_with("HTTP/1.1 200"), "after {head:.60}");
    }
}

/// Reads the whole body; the response is larger than the buffers of a connection.
async fn large(mut request: Request, _: Peer) -> Response {
    match read(request.take_body(), 1 << 20).await {
        Ok(_) => text(200, "a".repeat(32 << 20)),
        Err(_) => text(400, "cut off"),
    }
}

/// Guards against a peer that makes no progress and holds its connection forever.
#[test]
fn stalled_peers() {
    let limits = Limits {
        connections: 1,
        stall_timeout: Duration::from_millis(300),
    };
    let server = smol::block_on(Server::start_with_limits(any_port(), limits, large)).unwrap();
    // Each of these stalls while it holds the only connection: no head, half a body, a response that is not read.
    for sent in [
        "",
        "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    ] {
        let mut stalled = TcpStream::connect(server.address()).unwrap();
        stalled.write_all(sent.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        let start = Instant::now();
        let response = exchange(
            server.address(),
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        );
        assert!(response.starts_with("HTTP/1.1 200"), "{sent:?}");
        assert!(start.elapsed() >= Duration::from_millis(200), "{sent:?}");
    }
}

/// Guards against an unread body that holds its connection for as long as the caller sends.
#[test]
fn endless_body() {
    let limits = Limits {
        connections: 1,
        stall_timeout: Duration::from_millis(300),
    };
    let server = smol::block_on(Server::start_with_limits(any_port(), limits, ok)).unwrap();
    let mut caller = TcpStream::connect(server.address()).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    let start = Instant::now();
    // The handler responds at once without reading the body.
    while caller.write_all(b"a").is_ok() {
        assert!(start.elapsed() < Duration::from_secs(5), "never closed");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(start.elapsed() > Duration::from_millis(250));
}

/// Guards against a client that panics on a malformed response or buffers it without bound.
#[test]
fn bad_responses() {
    smol::block_on(async {
        for head in [
            "HTTP/1.1 200 OK\r\nx: \u{e9}\r\n\r\n".to_owned(),
            "a".repeat(64 << 10),
        ] {
            let listener = smol::net::TcpListener::bind(any_port()).await.unwrap();
            let address = listener.local_addr().unwrap();
            let server = smol::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = futures_lite::AsyncWriteExt::write_all(&mut stream, head.as_bytes()).await;
                stream
            });
            let request = Client::request(Method::Get, address, "/").unwrap();
            let outcome = Client::default().stream(address, request).await;
            assert!(outcome.is_err());
            drop(server.await);
        }
    });
}
