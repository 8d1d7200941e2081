//! Exchanges between client and server: large bodies, streamed responses, closed connections, byte counters.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{
    json, pipe, read, with_timeout, Client, Error, Events, Peer, Reuse, Server, Traffic,
};
use smol::net::TcpListener;

const LIMIT: usize = 8 << 20;

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Responds with the length of the request's body.
async fn body_length(mut request: Request, _: Peer) -> Response {
    match read(request.take_body(), LIMIT).await {
        Ok(bytes) => json(200, &bytes.len()),
        Err(_) => json(413, &0),
    }
}

/// Guards against lost bytes of a large body, and against a limit that is not enforced.
#[test]
fn large_body() {
    smol::block_on(async {
        let server = Server::start(any_port(), body_length).await.unwrap();
        let client = Client::default();
        for size in [0, 1, 4_000_000, 4_000_000, LIMIT + 1] {
            let mut request = Client::request(Method::Post, server.address(), "/").unwrap();
            request.set_body(vec![b'a'; size]);
            let (response, bytes) = client
                .fetch(server.address(), request, Reuse::Pooled, 100)
                .await
                .unwrap();
            let expected = if size > LIMIT { (413, 0) } else { (200, size) };
            let seen: usize = serde_json::from_slice(&bytes).unwrap();
            assert_eq!((u16::from(response.status()), seen), expected);
        }
    });
}

/// Guards against events that are lost or merged.
#[test]
fn streamed_events() {
    smol::block_on(async {
        let server = Server::start(any_port(), |_: Request, _: Peer| async {
            let (writer, body) = pipe();
            smol::spawn(async move {
                for index in 0..50 {
                    writer.send(format!("data: {index}\n\n")).await.unwrap();
                }
            })
            .detach();
            let mut response = Response::new(200);
            response.set_body(body);
            response
        })
        .await
        .unwrap();
        let request = Client::request(Method::Get, server.address(), "/").unwrap();
        let response = Client::default()
            .stream(server.address(), request)
            .await
            .unwrap();
        let mut events = Events::new(response);
        for index in 0..50 {
            assert_eq!(events.next().await.unwrap(), Some(index.to_string()));
        }
        assert_eq!(events.next().await.unwrap(), None);
    });
}

/// Guards against events that are buffered until the next one, and against a chunk that is read again while the next
/// one is pending.
#[test]
fn paced_events() {
    smol::block_on(async {
        let (release, releases) = async_channel::bounded::<()>(1);
        let server = Server::start(any_port(), move |_: Request, _: Peer| {
            let releases = releases.clone();
            async move {
                let (writer, body) = pipe();
                smol::spawn(async move {
                    for index in 0..5 {
                        releases.recv().await.unwrap();
                        writer.send(format!("data: {index}\n\n")).await.unwrap();
                    }
                    let _ = releases.recv().await;
                })
                .detach();
                let mut response = Response::new(200);
                response.set_body(body);
                response
            }
        })
        .await
        .unwrap();
        let request = Client::request(Method::Get, server.address(), "/").unwrap();
        let response = Client::default()
            .stream(server.address(), request)
            .await
            .unwrap();
        let mut events = Events::new(response);
        for index in 0..5 {
            release.send(()).await.unwrap();
            assert_eq!(events.next().await.unwrap(), Some(index.to_string()));
        }
        release.send(()).await.unwrap();
        assert_eq!(events.next().await.unwrap(), None);
    });
}

/// Guards against a handler that does not notice that its caller closed the connection.
#[test]
fn caller_leaves() {
    smol::block_on(async {
        let (closed, results) = async_channel::bounded(1);
        let server = Server::start(any_port(), move |mut request: Request, peer: Peer| {
            let closed = closed.clone();
            async move {
                let _ = read(request.take_body(), LIMIT).await;
                let forever = futures_lite::future::pending::<()>();
                let outcome = peer.run_until_closed(forever).await;
                let _ = closed.send(matches!(outcome, Err(Error::Closed))).await;
                Response::new(200)
            }
        })
        .await
        .unwrap();
        let mut request = Client::request(Method::Post, server.address(), "/").unwrap();
        request.set_body("x");
        let client = Client::default();
        let call = client.stream(server.address(), request);
        let outcome = with_timeout(Duration::from_millis(200), call).await;
        assert!(matches!(outcome, Err(Error::Timeout)));
        let noticed =
            with_timeout(Duration::from_secs(2), async { Ok(results.recv().await) }).await;
        assert!(noticed.unwrap().unwrap());
    });
}

/// Guards against requests that arrive after they were abandoned: bytes that a network fault holds up are delivered later
/// unless the connection is reset.
#[test]
fn abandoned_request() {
    smol::block_on(async {
        let server = TcpListener::bind(any_port()).await.unwrap();
        let address = server.local_addr().unwrap();
        let client = Client::default();
        let request = Client::request(Method::Post, address, "/").unwrap();
        let call = client.stream(address, request);
        let outcome = with_timeout(Duration::from_millis(200), call).await;
        assert!(matches!(outcome, Err(Error::Timeout)));
        let (mut connection, _) = server.accept().await.unwrap();
        let mut buffer = [0; 1_024];
        let mut read = connection.read(&mut buffer).await;
        while read.as_ref().is_ok_and(|length| *length > 0) {
            read = connection.read(&mut buffer).await;
        }
        assert!(read.is_err(), "the connection was closed, not reset");
    });
}

/// Guards against a refused connection that counts as a request which may have been received.
#[test]
fn refused_connect() {
    smol::block_on(async {
        let server = Server::start(any_port(), body_length).await.unwrap();
        let address = server.address();
        server.stop().await;
        let request = Client::request(Method::Get, address, "/").unwrap();
        let error = Client::default().stream(address, request).await.err();
        assert!(error.is_some_and(|error| error.is_unsent()));
    });
}

/// Guards against connections that outlive a dropped server.
#[test]
fn dropped_server() {
    smol::block_on(async {
        let requests = Arc::new(AtomicU32::new(0));
        let counter = requests.clone();
        let server = Server::start(any_port(), move |_: Request, _: Peer| {
            counter.fetch_add(1, Ordering::Relaxed);
            async {
                let (writer, body) = pipe();
                smol::spawn(async move {
                    let _ = writer.send("x").await;
                    futures_lite::future::pending::<()>().await;
                })
                .detach();
                let mut response = Response::new(200);
                response.set_body(body);
                response
            }
        })
        .await
        .unwrap();
        let request = Client::request(Method::Get, server.address(), "/").unwrap();
        let mut response = Client::default()
            .stream(server.address(), request)
            .await
            .unwrap();
        let mut byte = [0];
        response.read_exact(&mut byte).await.unwrap();
        drop(server);
        let rest = with_timeout(Duration::from_secs(2), async {
            Ok(response.read(&mut byte).await)
        });
        assert!(!matches!(rest.await.unwrap(), Ok(count) if count > 0));
        assert_eq!(requests.load(Ordering::Relaxed), 1);
    });
}

/// Guards against bytes that are not counted, or counted twice.
#[test]
fn metered_bytes() {
    smol::block_on(async {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (mut seen, mut buffer) = (0, [0; 4096]);
            while !buffer[..seen].ends_with(&[b'x'; 1000]) {
                seen += stream.read(&mut buffer[seen..]).await.unwrap();
            }
            stream.write_all(response).await.unwrap();
            seen
        });
        let traffic = Arc::new(Traffic::default());
        let client = Client::metered(traffic.clone());
        let mut request = Client::request(Method::Post, address, "/").unwrap();
        request.set_body("x".repeat(1000));
        let call = client.fetch(address, request, Reuse::Pooled, 100);
        assert_eq!(call.await.unwrap().1, b"hello");
        assert_eq!(traffic.take_sent(), server.await as u64);
        assert_eq!(traffic.take_received(), response.len() as u64);
        assert_eq!((traffic.take_sent(), traffic.take_received()), (0, 0));
    });
}
