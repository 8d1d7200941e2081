//! The log: offsets, long polls, retention and faults.

mod common;

use std::time::{Duration, Instant};

use common::{fault, get, loopback, post, send, wait_until, wait_until_back};
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Error};
use jujubehook_standin::log::{Log, Settings};
use serde_json::json;

async fn log(settings: Settings) -> Log {
    Log::start(loopback(), settings).await.unwrap()
}

/// Guards against wrong offsets, and against bodies that differ from those that were appended.
#[test]
fn pages() {
    smol::block_on(async {
        let log = log(Settings::default()).await;
        for number in 1..=3 {
            let (_, response) = post(log.address(), "/streams/s", json!({ "n": number })).await;
            assert_eq!(response, json!({ "offset": number }));
        }
        let (_, page) = get(log.address(), "/streams/s?from=2&limit=1").await;
        let entry = json!({ "body": "{\"n\":2}", "offset": 2 });
        assert_eq!(page, json!({ "entries": [entry], "first": 1, "next": 3 }));
        let (_, page) = get(log.address(), "/streams/other?from=1").await;
        assert_eq!(page, json!({ "entries": [], "first": 1, "next": 1 }));
    });
}

/// Guards against a dropped response whose append was not executed.
#[test]
fn drop_reply() {
    smol::block_on(async {
        let log = log(Settings::default()).await;
        fault(log.address(), json!({ "drop_reply": 1 })).await;
        let body = json!("lost");
        let lost = send(log.address(), Method::Post, "/streams/s", Some(&body));
        let lost = with_timeout(Duration::from_millis(200), lost).await;
        assert!(matches!(lost, Err(Error::Timeout)));
        assert_eq!(
            post(log.address(), "/streams/s", json!("kept")).await.1["offset"],
            2
        );
        assert_eq!(
            get(log.address(), "/streams/s").await.1["entries"][0]["body"],
            "\"lost\""
        );
    });
}

/// Guards against an outage that loses entries.
#[test]
fn outage() {
    smol::block_on(async {
        let log = log(Settings::default()).await;
        let address = log.address();
        post(address, "/streams/s", json!(1)).await;
        fault(address, json!({ "down_ms": 100 })).await;
        let down = async {
            loop {
                match send(address, Method::Get, "/streams/s", None).await {
                    Err(error) if error.is_unsent() => return Ok(()),
                    Ok(_) | Err(_) => {}
                }
            }
        };
        with_timeout(common::TIMEOUT, down).await.unwrap();
        wait_until_back(address).await;
        assert_eq!(get(address, "/streams/s").await.1["next"], 2);
    });
}

/// Guards against offsets that change when old entries expire.
#[test]
fn retention() {
    smol::block_on(async {
        let log = log(Settings {
            retention: 2,
            ..Settings::default()
        })
        .await;
        for number in 1..=5 {
            post(log.address(), "/streams/s", json!(number)).await;
        }
        let (_, page) = get(log.address(), "/streams/s?from=1").await;
        assert_eq!((&page["first"], &page["next"]), (&json!(4), &json!(6)));
        assert_eq!(page["entries"][0]["offset"], 4);
        fault(log.address(), json!({ "retention": 1 })).await;
        assert_eq!(get(log.address(), "/streams/s").await.1["first"], 5);
    });
}

/// Guards against appends above the rate limit that are accepted or take an offset.
#[test]
fn append_rate() {
    smol::block_on(async {
        let log = log(Settings {
            rate: 0.001,
            ..Settings::default()
        })
        .await;
        assert_eq!(post(log.address(), "/streams/s", json!(1)).await.0, 200);
        assert_eq!(post(log.address(), "/streams/s", json!(2)).await.0, 429);
        assert_eq!(get(log.address(), "/streams/s").await.1["next"], 2);
    });
}

/// Guards against long polls that an append wakes late or one at a time.
#[test]
fn many_polls() {
    smol::block_on(async {
        let log = log(Settings::default()).await;
        let address = log.address();
        let start = Instant::now();
        let polls: Vec<_> = (0..20)
            .map(|_| smol::spawn(get(address, "/streams/s?from=1&wait_ms=15000")))
            .collect();
        wait_until(address, "polls", |stats| stats["waiting"] == 20).await;
        post(address, "/streams/s", json!("entry")).await;
        for poll in polls {
            assert_eq!(poll.await.1["entries"][0]["offset"], 1);
        }
        assert!(start.elapsed() < Duration::from_secs(10));
    });
}

/// Guards against a `slow_ms` fault that delays nothing, and against entries that are not JSON.
#[test]
fn slow_and_invalid() {
    smol::block_on(async {
        let log = log(Settings::default()).await;
        fault(log.address(), json!({ "slow_ms": 50 })).await;
        let start = Instant::now();
        get(log.address(), "/streams/s").await;
        assert!(start.elapsed() >= Duration::from_millis(50));
        let response = send(log.address(), Method::Post, "/streams/s", None).await;
        assert_eq!(response.unwrap().0, 400);
    });
}
