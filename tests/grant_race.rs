//! Guards against a deadlock of an instance that grants a target to a peer while it dispatches to the same target.
//! Checks invariant 9 of the design.

mod cluster;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cluster::{wait_until, ClusterBuilder, Completion, PEER_KEY, REACTION_LIMIT};
use hmac::{Hmac, KeyInit, Mac};
use jujubehook::owner::{candidate, Acquire, Grant, Heartbeat, Request};
use jujubehook::wire::{self, Answer};
use jujubehook_http::http_types::{self, Method};
use jujubehook_http::{with_timeout, Client, Reuse};
use sha2::Sha256;
use smol::Timer;

/// Requests for the same target in one message. The instance counts its requests in flight there for each of them, so
/// handling the message overlaps with several passes of its dispatch loop.
const TARGET_REQUESTS: usize = 20_000;

const MESSAGES: usize = 5;

/// Bytes of the authentication tag after each datagram.
const TAG_BYTES: usize = 16;

const TARGET: &str = "engine-north-0";

/// A peer repeatedly asks for a target while the instance checks what it may dispatch there. The peer gets an answer
/// each time, and the instance still serves requests afterwards.
#[test]
fn grants_while_dispatching() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().instances(1).engines(2).start().await;
        let entry = cluster.instances[0].address;
        let peer = candidate_peer();
        let heartbeats = smol::spawn(send_heartbeats(peer.clone(), entry));
        wait_until("the peer is known", REACTION_LIMIT, async || {
            ask(&peer, 1, entry).await.targets.len() == 1
        })
        .await;
        for _ in 0..MESSAGES {
            assert_eq!(
                ask(&peer, TARGET_REQUESTS, entry).await.targets.len(),
                TARGET_REQUESTS
            );
        }
        heartbeats.cancel().await;
        cluster.wait_settled().await;
        let completion = Completion::new(1, 500, 20, REACTION_LIMIT);
        completion.check_whole(&cluster.complete(0, &completion).await);
    });
}

/// Asks the instance for the target, as a peer that claims to own it.
async fn ask(peer: &str, count: usize, entry: SocketAddr) -> Grant {
    let mut request: http_types::Request =
        Client::request(Method::Post, entry, "/peer/acquire").expect("a request");
    request.insert_header("x-peer-key", PEER_KEY);
    request.insert_header("x-time", "1");
    request.set_body(wire::encode(&acquire(peer, count)));
    let client = Client::default();
    let call = client.fetch(entry, request, Reuse::Never, 16 << 20);
    let (_, bytes) = with_timeout(REACTION_LIMIT, call).await.expect("an answer");
    let answer: Answer<Grant> = wire::decode(&bytes).expect("a grant");
    answer.expect("a grant")
}

/// Id of a peer that is the candidate for the target.
fn candidate_peer() -> String {
    let entry = "entry-north-0".to_owned();
    (0..100)
        .map(|number| format!("peer-{number}"))
        .find(|peer| {
            candidate(&TARGET.into(), &[entry.clone(), peer.clone()]).as_ref() == Some(peer)
        })
        .expect("a candidate")
}

fn acquire(peer: &str, count: usize) -> Acquire {
    let request = Request {
        owned: true,
        released: Vec::new(),
        sequence: 1,
        target: TARGET.into(),
    };
    Acquire {
        from: peer.into(),
        incarnation: 1,
        targets: vec![request; count],
    }
}

/// Sends heartbeats of a peer that owns nothing.
async fn send_heartbeats(from: String, to: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for sequence in 1.. {
        let heartbeat = Heartbeat {
            dropped: 0,
            echo: 1,
            echo_incarnation: 1,
            from: from.clone(),
            incarnation: 1,
            leaving: false,
            offset: 0,
            sequence,
            settled: true,
            time: 1,
        };
        let mut bytes = rmp_serde::to_vec(&heartbeat).expect("a heartbeat");
        let mut mac = Hmac::<Sha256>::new_from_slice(PEER_KEY.as_bytes()).expect("a key");
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        socket.send_to(&bytes, to).expect("a datagram");
        Timer::after(Duration::from_millis(50)).await;
    }
}
