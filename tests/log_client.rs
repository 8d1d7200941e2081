//! Guards against appends that are sent twice, and against an unknown outcome that is taken for "not appended".

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jujubehook::error::Executed;
use jujubehook::remote::{List, Log, Role, Settings, State};
use jujubehook_http::http_types::{Request, Response};
use jujubehook_http::{text, Peer, Server};
use smol::Timer;

const NO_WAIT: Duration = Duration::ZERO;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn settings() -> Settings {
    Settings {
        answer_limit: 400,
        timeout: Duration::from_millis(300),
        ..Settings::default()
    }
}

/// Starts a server that answers every request with the same status and body, and records the URLs.
async fn respond_with(status: u16, body: &'static str) -> (Server, Arc<Mutex<Vec<String>>>) {
    let paths = Arc::new(Mutex::new(Vec::new()));
    let seen = paths.clone();
    let server = Server::start(loopback(), move |request: Request, _: Peer| {
        seen.lock().unwrap().push(request.url().to_string());
        async move { text(status, body) }
    });
    (server.await.unwrap(), paths)
}

#[test]
fn append_outcome() {
    let cases = [
        (200, r#"{"offset":7}"#, Ok(7)),
        (200, r#"{"offset":0}"#, Err(Executed::Unknown)),
        (200, "cut of", Err(Executed::Unknown)),
        (304, "", Err(Executed::Unknown)),
        (429, "", Err(Executed::No)),
        (500, r#"{"executed":"no"}"#, Err(Executed::Unknown)),
        (503, "down", Err(Executed::Unknown)),
        (503, r#"{"executed":"no"}"#, Err(Executed::No)),
        (503, r#"{"error":{"executed":"no"}}"#, Err(Executed::No)),
        (
            503,
            r#"{"error":{"executed":"unknown"}}"#,
            Err(Executed::Unknown),
        ),
    ];
    smol::block_on(async {
        for (status, body, expected) in cases {
            let (server, paths) = respond_with(status, body).await;
            let log = Log::new(server.address(), settings());
            let result = log.append("config", "{}").await;
            let result = result.map_err(|error| error.executed());
            assert_eq!(result, expected, "status {status}, body `{body}`");
            assert_eq!(
                paths.lock().unwrap().len(),
                1,
                "an append must be sent only once"
            );
        }
    });
}

/// Guards against reads that try one silent connection after the other: connections that are open but on which nothing
/// arrives any more.
#[test]
fn silent_connections_are_left() {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            std::thread::spawn(move || answer_reads(stream, number >= 3));
        }
    });
    smol::block_on(async {
        let log = Log::new(address, settings());
        let read = || log.read("config", 1, 1, NO_WAIT);
        let (first, (second, third)) =
            futures_lite::future::zip(read(), futures_lite::future::zip(read(), read())).await;
        assert!(first.is_ok() && second.is_ok() && third.is_ok());
        assert!(read().await.is_err(), "the connection is not silent");
        read().await.unwrap();
    });
}

/// Answers reads with an empty page; one that is not `healthy` answers only the first.
fn answer_reads(mut stream: TcpStream, healthy: bool) {
    let mut buffer = [0; 4_096];
    let mut answers = 0;
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
        answers += 1;
        if healthy || answers == 1 {
            // All three connections are open before the first is idle.
            std::thread::sleep(Duration::from_millis(50));
            let body = r#"{"entries":[],"first":1,"next":1}"#;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all((head + body).as_bytes()).unwrap();
        }
    }
}

#[test]
fn append_without_server() {
    // A dropped listener closes at once, while a `Server` may take a moment.
    let address = TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    smol::block_on(async {
        let log = Log::new(address, settings());
        let error = log.append("config", "{}").await.unwrap_err();
        assert_eq!(error.executed(), Executed::No, "{error}");
        for stream in ["", "..", "a/b", "a?b"] {
            let error = log.append(stream, "{}").await.unwrap_err();
            assert_eq!(error.executed(), Executed::No, "{error}");
        }
    });
}

/// Answers the first request on a connection, closes the connection at the second one, and counts both.
fn answer_once(mut stream: TcpStream, seen: &AtomicU64) {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":1}",
        "",
    ] {
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            let mut bytes = [0; 1024];
            match stream.read(&mut bytes) {
                // The client closes or resets a connection that it no longer needs.
                Ok(0) | Err(_) => return,
                Ok(count) => request.extend_from_slice(&bytes[..count]),
            }
        }
        seen.fetch_add(1, Ordering::SeqCst);
        stream.write_all(answer.as_bytes()).unwrap();
    }
}

#[test]
fn append_is_sent_once() {
    let listener = TcpListener::bind(loopback()).unwrap();
    let log = Log::new(listener.local_addr().unwrap(), settings());
    let seen = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&seen);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let counter = Arc::clone(&counter);
            std::thread::spawn(move || answer_once(stream.unwrap(), &counter));
        }
    });
    for expected in 1..=3 {
        assert_eq!(smol::block_on(log.append("config", "{}")), Ok(1));
        assert_eq!(
            seen.load(Ordering::SeqCst),
            expected,
            "an append was sent again after a stale connection"
        );
    }
}

#[test]
fn append_times_out() {
    smol::block_on(async {
        let server = Server::start(loopback(), |_: Request, _: Peer| async {
            Timer::after(Duration::from_secs(20)).await;
            text(200, r#"{"offset":1}"#)
        });
        let server = server.await.unwrap();
        let log = Log::new(server.address(), settings());
        let error = log.append("config", "{}").await.unwrap_err();
        assert_eq!(error.executed(), Executed::Unknown, "{error}");
    });
}

/// Serves entries with bodies of 60 bytes. A page of eight exceeds the response limit of the test, a page of four does
/// not.
async fn long_entries(request: Request, _: Peer) -> Response {
    let pairs = request.url().query_pairs();
    let get = |name: &str| {
        let pair = pairs.clone().find(|(key, _)| key == name);
        pair.unwrap().1.parse::<u64>().unwrap()
    };
    let (from, limit) = (get("from"), get("limit"));
    let entry = |offset| format!(r#"{{"offset":{offset},"body":"{}"}}"#, "x".repeat(60));
    let entries: Vec<_> = (from..from + limit).map(entry).collect();
    let (next, entries) = (from + limit, entries.join(","));
    text(
        200,
        format!(r#"{{"first":1,"next":{next},"entries":[{entries}]}}"#),
    )
}

#[test]
fn read_shrinks_page() {
    smol::block_on(async {
        let server = Server::start(loopback(), long_entries).await.unwrap();
        let log = Log::new(server.address(), settings());
        let page = log.read("config", 5, 8, NO_WAIT).await.unwrap();
        let offsets: Vec<_> = page.entries.iter().map(|entry| entry.offset).collect();
        assert_eq!((offsets, page.next), (vec![5, 6, 7, 8], 9));
    });
}

#[test]
fn read_checks_order() {
    let swapped =
        r#"{"first":1,"next":3,"entries":[{"offset":2,"body":""},{"offset":1,"body":""}]}"#;
    let before = r#"{"first":1,"next":2,"entries":[{"offset":1,"body":""}]}"#;
    let behind = r#"{"first":1,"next":2,"entries":[{"offset":2,"body":""}]}"#;
    smol::block_on(async {
        for (from, body) in [(1, swapped), (2, before), (2, behind)] {
            let (server, _) = respond_with(200, body).await;
            let log = Log::new(server.address(), settings());
            log.read("config", from, 8, NO_WAIT).await.unwrap_err();
        }
    });
}

#[test]
fn list_versions() {
    let body = r#"{"version":4,"instances":[
        {"id":"b","role":"entry","address":"127.0.0.1:1","domain":"x","state":"leaving"},
        {"id":"a","role":"engine","address":"127.0.0.1:2","domain":"x","state":"live","model":"m"}]}"#;
    smol::block_on(async {
        let (server, paths) = respond_with(200, body).await;
        let list = List::new(server.address(), settings());
        let listing = list.fetch(Some(3)).await.unwrap().unwrap();
        assert!(paths.lock().unwrap()[0].ends_with("/instances?version=3"));
        let ids: Vec<_> = listing
            .instances
            .iter()
            .map(|member| member.id.as_str())
            .collect();
        assert_eq!((ids, listing.version), (vec!["a", "b"], 4));
        let (a, b) = (listing.member("a").unwrap(), listing.member("b").unwrap());
        assert_eq!((a.role, a.state), (Role::Engine, State::Live));
        assert_eq!((b.role, b.state), (Role::Instance, State::Leaving));
        let (server, _) = respond_with(304, "").await;
        let list = List::new(server.address(), settings());
        assert_eq!(list.fetch(Some(4)).await.unwrap(), None);
    });
}
