//! Guards against accepting a wrong peer key, malformed peer messages or forged heartbeats.

mod fleet;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use fleet::{
    check_serving, executed_requests, expected_error, panic_count, send, start_fleet, wait_until,
};
use hmac::{Hmac, KeyInit, Mac};
use jujubehook::error::{Error, Kind};
use jujubehook::load::Fleet;
use jujubehook::owner::{self, Heartbeat, Table};
use jujubehook::wire::{self, Answer, Body, Call, Frame, Run, Validator};
use serde_json::Value;
use sha2::Sha256;
use smol::Timer;

const GET_PATHS: &[&str] = &["/peer/status"];

/// Length of the authentication tag at the end of each datagram, in bytes.
const TAG_LEN: usize = 16;

/// Paths whose response is one message; the response of `/peer/run` is a stream of frames.
const POST_PATHS: &[&str] = &[
    "/peer/acquire",
    "/peer/call",
    "/peer/claims",
    "/peer/fold",
    "/peer/hold",
    "/peer/once",
    "/peer/prefill",
];

fn heartbeat(from: &str) -> Heartbeat {
    Heartbeat {
        dropped: 0,
        echo: 1,
        echo_incarnation: 1,
        from: from.into(),
        incarnation: 1,
        leaving: true,
        offset: 1_000,
        sequence: 1,
        settled: true,
        time: 1,
    }
}

fn call(service: &str, key: Option<&str>) -> Call {
    Call {
        attempt: 1,
        body: "{}".into(),
        deadline_ms: 1_000,
        hops: u8::MAX,
        key: key.map(str::to_owned),
        name: "look".into(),
        request: 1,
        service: service.into(),
        target: None,
        workspace: "workspace-0".into(),
    }
}

fn run(target: &str) -> Run {
    Run {
        adapter: None,
        attempt: 1,
        context: Vec::new(),
        deadline_ms: u64::MAX,
        hops: 2,
        max_tokens: 2,
        model: "resin".into(),
        prefix: Vec::new(),
        prompt: "hello".into(),
        request: 1,
        start: u64::MAX,
        target: target.into(),
        weight: 0,
        workspace: "workspace-0".into(),
    }
}

/// Datagram of a heartbeat with its authentication tag.
fn signed(key: &str, heartbeat: &Heartbeat) -> Vec<u8> {
    let mut bytes = rmp_serde::to_vec(heartbeat).unwrap();
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).unwrap();
    mac.update(&bytes);
    bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG_LEN]);
    bytes
}

async fn check_wrong_keys(fleet: &Fleet, entry: SocketAddr) {
    let key = fleet.peer_key();
    let shortened = &key[..key.len() - 1];
    let changed = key.replace('p', "q");
    let extended = format!("{key}x");
    for path in POST_PATHS
        .iter()
        .chain(GET_PATHS)
        .chain(&["/peer/run", "/peer/", "/peer/none"])
    {
        for method in ["GET", "POST"] {
            for headers in [
                &[][..],
                &[("x-peer-key", "")],
                &[("x-peer-key", shortened)],
                &[("x-peer-key", changed.as_str())],
                &[("x-peer-key", extended.as_str())],
                &[("authorization", "Bearer key-0")],
            ] {
                let reply = send(entry, method, path, headers, wire::encode(&())).await;
                assert_eq!(
                    reply.error(),
                    expected_error("unauthorized"),
                    "{method} {path} {headers:?}"
                );
            }
        }
    }
}

async fn check_malformed(fleet: &Fleet, entry: SocketAddr) {
    let headers = [("x-peer-key", fleet.peer_key()), ("x-time", "soon")];
    let valid = wire::encode(&run("engine-north-0"));
    let messages = [
        &b""[..],
        b"\xc1",
        b"\xa5ab",
        b"\x91\xc0",
        b"\xdf\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
        b"{\"attempt\":1}",
        &valid[..valid.len() - 1],
        &[0x91; 100_000],
    ];
    for bytes in messages {
        for path in POST_PATHS {
            let reply = send(entry, "POST", path, &headers, bytes).await;
            let answer: Answer<Value> = wire::decode(&reply.body).unwrap();
            let kind = answer.map_err(|failure| Error::from(failure).kind());
            assert_eq!(
                (reply.status, kind),
                (200, Err(Kind::BadRequest)),
                "{path} {bytes:.20?}"
            );
        }
        let reply = send(entry, "POST", "/peer/run", &headers, bytes).await;
        assert_eq!(reply.error(), expected_error("bad_request"), "{bytes:.20?}");
    }
    for (method, path) in [
        ("POST", "/peer/status"),
        ("GET", "/peer/run"),
        ("PUT", "/peer/none"),
    ] {
        let reply = send(entry, method, path, &headers, "").await;
        assert_eq!(
            reply.error(),
            expected_error("bad_request"),
            "{method} {path}"
        );
    }
    let large = vec![0; 10 << 20];
    let reply = send(entry, "POST", "/peer/run", &headers, large).await;
    assert_eq!(reply.error(), expected_error("too_large"));
}

/// Checks that well-formed messages with invalid values are refused.
async fn check_invalid_values(fleet: &Fleet, entry: SocketAddr) {
    let headers = [("x-peer-key", fleet.peer_key()), ("x-time", "1")];
    for (path, message, kind) in [
        ("/peer/call", call("seats", None), Kind::BadRequest),
        ("/peer/once", call("seats", None), Kind::BadRequest),
        (
            "/peer/once",
            call("seats", Some("\u{e9}")),
            Kind::BadRequest,
        ),
        ("/peer/once", call("seats", Some("1-a")), Kind::KeyExpired),
    ] {
        let reply = send(entry, "POST", path, &headers, wire::encode(&message)).await;
        let answer: Answer<wire::Reply> = wire::decode(&reply.body).unwrap();
        let kind = Err(kind);
        assert_eq!(answer.map_err(|failure| failure.kind), kind, "{message:?}");
    }
    for target in ["", "none", "entry-north-0"] {
        let reply = send(
            entry,
            "POST",
            "/peer/run",
            &headers,
            wire::encode(&run(target)),
        )
        .await;
        let mut body = &reply.body[..];
        let frame = wire::read_frame(&mut body).await.unwrap().unwrap();
        assert!(matches!(frame.body, Body::Fail { .. }), "{frame:?}");
    }
}

async fn status(fleet: &Fleet, entry: SocketAddr) -> Value {
    let headers = [("x-peer-key", fleet.peer_key())];
    let reply = send(entry, "GET", "/peer/status", &headers, "").await;
    let mut status: Value = serde_json::from_slice(&reply.body).unwrap();
    // The age of a peer's last heartbeat changes with time.
    for peer in status["peers"].as_array_mut().unwrap() {
        assert!(peer.as_object_mut().unwrap().remove("age_ms").is_some());
    }
    status
}

async fn check_forged_heartbeats(fleet: &Fleet, entry: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let before = status(fleet, entry).await;
    let valid = signed(fleet.peer_key(), &heartbeat("ghost"));
    let mut flipped = valid.clone();
    flipped[0] ^= 1;
    let mut padded = valid.clone();
    padded.push(0);
    for name in ["ghost", "entry-north-0", "entry-north-1"] {
        socket
            .send_to(&signed("another key", &heartbeat(name)), entry)
            .unwrap();
        socket
            .send_to(&signed("", &heartbeat(name)), entry)
            .unwrap();
        socket
            .send_to(&rmp_serde::to_vec(&heartbeat(name)).unwrap(), entry)
            .unwrap();
    }
    for length in 0..valid.len() {
        socket.send_to(&valid[..length], entry).unwrap();
    }
    for datagram in [flipped, padded, vec![0; 2_000], vec![0xff; 60_000]] {
        socket.send_to(&datagram, entry).unwrap();
    }
    Timer::after(Duration::from_millis(500)).await;
    assert_eq!(status(fleet, entry).await, before);
    // The same heartbeat with a valid tag is accepted, so the ones above were rejected because of their tags.
    socket.send_to(&valid, entry).unwrap();
    wait_until(async || status(fleet, entry).await != before).await;
}

#[test]
fn bad_peer() {
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        let entry = fleet.entries()[0];
        check_serving(&fleet).await;
        let before = executed_requests(&fleet).await;
        check_wrong_keys(&fleet, entry).await;
        check_malformed(&fleet, entry).await;
        check_invalid_values(&fleet, entry).await;
        assert_eq!(executed_requests(&fleet).await, before);
        // A message with the largest possible numbers must not cause an overflow.
        let headers = [
            ("x-peer-key", fleet.peer_key()),
            ("x-time", "18446744073709551615"),
        ];
        for (target, ..) in fleet.engines() {
            let body = wire::encode(&run(&target));
            for entry in fleet.entries() {
                send(entry, "POST", "/peer/run", &headers, body.clone()).await;
            }
        }
        check_serving(&fleet).await;
        check_forged_heartbeats(&fleet, entry).await;
        assert_eq!(panic_count(), 0);
    });
}

/// Guards against a response that is assembled from frames of two attempts, or from late frames.
#[test]
fn wrong_frames() {
    let frame = |attempt, sequence, index| Frame {
        attempt,
        body: Body::Token {
            index,
            text: "a".into(),
        },
        sequence,
        time: 0,
    };
    for (frame, accepted) in [
        (frame(7, 1, 4), true),
        (frame(8, 1, 4), false),
        (frame(7, 0, 4), false),
        (frame(7, 2, 4), false),
        (frame(7, 1, 3), false),
        (frame(7, 1, 5), false),
    ] {
        let mut validator = Validator::new(7, 3);
        validator.accept(&self::first(&frame)).unwrap();
        let outcome = validator.accept(&frame).map_err(|error| error.kind());
        assert_eq!(outcome.is_ok(), accepted, "{frame:?}");
        assert!(accepted || outcome == Err(Kind::UpstreamFailed));
    }
    let mut last = Validator::new(7, u64::MAX);
    last.accept(&frame(7, 0, u64::MAX)).unwrap_err();
}

/// The first frame of the stream that `frame` continues.
fn first(frame: &Frame) -> Frame {
    Frame {
        attempt: 7,
        body: Body::Token {
            index: 3,
            text: "a".into(),
        },
        sequence: 0,
        time: frame.time,
    }
}

/// Guards against memory that is allocated for a length prefix alone, and against a truncated frame that is taken for
/// the end of the stream.
#[test]
fn bad_streams() {
    smol::block_on(async {
        let limit = wire::FRAME_LIMIT as u32;
        for bytes in [
            &[0][..],
            &[0, 0, 0, 2, 0x80],
            &[0, 0, 0, 1, 0xc1],
            &(limit + 1).to_be_bytes(),
            &u32::MAX.to_be_bytes(),
        ] {
            let error = wire::read_frame(&mut &bytes[..]).await.unwrap_err();
            assert_eq!(error.kind(), Kind::UpstreamFailed);
        }
        assert_eq!(wire::read_frame(&mut &[][..]).await.unwrap(), None);
    });
}

/// Guards against a stopped peer that counts as live because its last heartbeat is sent again.
#[test]
fn replayed_heartbeat() {
    let settings = owner::Settings::default();
    let (start, lease) = (Duration::ZERO, settings.lease);
    let mut table = Table::new("a".into(), 1, settings, start);
    let heartbeat = heartbeat("b");
    table.receive_heartbeat(&heartbeat, start);
    assert_eq!(table.live(start), ["b"]);
    for step in 1..=4 {
        let now = lease * step / 4;
        table.receive_heartbeat(&heartbeat, now);
        table.tick(now);
    }
    assert!(table.live(lease).is_empty());
}
