//! The instance list: versions, long polls and lag.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{delete, fault, get, loopback, send, wait_until};
use jujubehook_http::http_types::Method;
use jujubehook_standin::list::{List, Settings};
use serde_json::json;

async fn put(address: SocketAddr, id: &str, state: &str) -> u16 {
    let body = json!({ "address": "127.0.0.1:9", "domain": "d", "role": "entry", "state": state });
    let path = format!("/instances/{id}");
    let response = send(address, Method::Put, &path, Some(&body)).await;
    response.unwrap().0
}

/// Guards against changes without a new version, and against new versions without a change.
#[test]
fn versions() {
    smol::block_on(async {
        let list = List::start(loopback(), Settings::default()).await.unwrap();
        let address = list.address();
        assert_eq!(put(address, "i1", "live").await, 200);
        assert_eq!(put(address, "i1", "live").await, 200);
        let (_, list) = get(address, "/instances").await;
        assert_eq!(
            (&list["version"], &list["instances"][0]["id"]),
            (&json!(2), &json!("i1"))
        );
        assert_eq!(get(address, "/instances?version=2").await.0, 304);
        assert_eq!(put(address, "i1", "leaving").await, 200);
        assert_eq!(
            get(address, "/instances?version=2").await.1["instances"][0]["state"],
            "leaving"
        );
        assert_eq!(delete(address, "/instances/i1").await, 200);
        assert_eq!(get(address, "/instances").await.1["instances"], json!([]));
        assert_eq!(put(address, "i1", "odd").await, 400);
    });
}

/// Guards against a list that is up to date although it should lag.
#[test]
fn lag() {
    smol::block_on(async {
        let list = List::start(loopback(), Settings { lag_ms: 60_000 })
            .await
            .unwrap();
        let address = list.address();
        put(address, "i1", "live").await;
        assert_eq!(get(address, "/instances").await.1["version"], 1);
        fault(address, json!({ "lag_ms": 0 })).await;
        assert_eq!(get(address, "/instances").await.1["version"], 2);
    });
}

/// Guards against long polls that a change wakes late or one at a time.
#[test]
fn many_polls() {
    smol::block_on(async {
        let list = List::start(loopback(), Settings { lag_ms: 50 })
            .await
            .unwrap();
        let address = list.address();
        let start = Instant::now();
        let polls: Vec<_> = (0..20)
            .map(|_| smol::spawn(get(address, "/instances?version=1&wait_ms=15000")))
            .collect();
        wait_until(address, "polls", |stats| stats["waiting"] == 20).await;
        put(address, "i1", "live").await;
        for poll in polls {
            assert_eq!(poll.await.1["version"], 2);
        }
        let elapsed = start.elapsed();
        assert!(elapsed >= Duration::from_millis(50) && elapsed < Duration::from_secs(10));
    });
}
