//! Guards against an instance that stands still for good because it grants a target to a peer while it dispatches to
//! the same target. Proves point 9.

mod cluster;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cluster::{wait_until, Cluster, Completion, PEER_KEY, REACTION_LIMIT};
use hmac::{Hmac, KeyInit, Mac};
use jujubehook::owner::{candidate, Acquire, Grant, Heartbeat, TargetRequest};
use jujubehook::wire::{self, Answer};
use jujubehook_http::http_types::{Method, Request};
use jujubehook_http::{with_timeout, Client, Reuse};
use sha2::Sha256;
use smol::Timer;

/// Questions for one target in a message. The granter counts for each what it has in flight there, so a message of
/// this length spans several rounds of its dispatching.
const QUESTIONS: usize = 20_000;

const MESSAGES: usize = 5;

/// Bytes of the tag behind each datagram.
const TAG: usize = 16;

const TARGET: &str = "engine-north-0";

/// A peer asks for a target again and again while the instance looks what it may dispatch there: it gets an answer each
/// time, and the instance still serves requests afterwards.
#[test]
fn grants_while_dispatching() {
    cluster::run(async {
        let running = Cluster::new().instances(1).engines(2).start().await;
        let entry = running.instances[0].address;
        let peer = peer();
        let beats = smol::spawn(beat(peer.clone(), entry));
        wait_until("the peer is known", REACTION_LIMIT, async || {
            ask(&peer, 1, entry).await.targets.len() == 1
        })
        .await;
        for _ in 0..MESSAGES {
            assert_eq!(ask(&peer, QUESTIONS, entry).await.targets.len(), QUESTIONS);
        }
        beats.cancel().await;
        running.wait_settled().await;
        let completion = Completion::new(1, 500, 20, REACTION_LIMIT);
        completion.check_whole(&running.complete(0, &completion).await);
    });
}

async fn ask(peer: &str, questions: usize, entry: SocketAddr) -> Grant {
    let mut request: Request =
        Client::request(Method::Post, entry, "/peer/acquire").expect("a request");
    request.insert_header("x-peer-key", PEER_KEY);
    request.insert_header("x-time", "1");
    request.set_body(wire::encode(&question(peer, questions)));
    let client = Client::default();
    let call = client.fetch(entry, request, Reuse::Never, 16 << 20);
    let (_, bytes) = with_timeout(REACTION_LIMIT, call).await.expect("an answer");
    let answer: Answer<Grant> = wire::decode(&bytes).expect("a grant");
    answer.expect("a grant")
}

/// An id that makes the peer the candidate for the target.
fn peer() -> String {
    let entry = "entry-north-0".to_owned();
    (0..100)
        .map(|number| format!("peer-{number}"))
        .find(|peer| {
            candidate(&TARGET.into(), &[entry.clone(), peer.clone()]).as_ref() == Some(peer)
        })
        .expect("a candidate")
}

fn question(peer: &str, questions: usize) -> Acquire {
    let ask = TargetRequest {
        owned: true,
        released: Vec::new(),
        sequence: 1,
        target: TARGET.into(),
    };
    Acquire {
        from: peer.into(),
        incarnation: 1,
        targets: vec![ask; questions],
    }
}

async fn beat(from: String, to: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for sequence in 1.. {
        let beat = Heartbeat {
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
        let mut bytes = rmp_serde::to_vec(&beat).expect("a beat");
        let mut mac = Hmac::<Sha256>::new_from_slice(PEER_KEY.as_bytes()).expect("a key");
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG]);
        socket.send_to(&bytes, to).expect("a datagram");
        Timer::after(Duration::from_millis(50)).await;
    }
}
