//! Fault switches of an engine.

mod common;

use std::time::{Duration, Instant};

use common::{
    complete, engine, fast_engine, fault, get, open, post, request, send, stats, try_open,
    wait_until_back,
};
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Error};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::text;
use serde_json::json;

/// Guards against a `cross` fault that inserts no frame, or more than one, of another attempt.
#[test]
fn cross() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 50.0,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        let mut other = open(address, &request(1, "other", 1_000)).await;
        assert!(other.next().await.is_some());
        drop(other);
        fault(address, json!({ "cross": true })).await;
        let mut stream = open(address, &request(2, "prompt", 3)).await;
        let mut crossed = Vec::new();
        while let Some(event) = stream.next().await {
            crossed.push(event["attempt"].as_str().unwrap().ends_with('1'));
        }
        assert_eq!(crossed.iter().filter(|crossed| **crossed).count(), 1);
        assert_eq!(
            crossed.len(),
            5,
            "one frame of the other attempt, three tokens, one final frame"
        );
    });
}

/// Guards against a crash by `die_ms` that keeps connections, state or the boot number.
#[test]
fn die() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1.0,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        let stream = open(address, &request(1, "prompt", 100)).await;
        fault(address, json!({ "die_ms": 100 })).await;
        assert!(stream.end().await.finish.is_none());
        let refused = async {
            loop {
                match try_open(address, &request(2, "prompt", 1)).await {
                    Err(error) if error.is_unsent() => return Ok(()),
                    Ok(_) | Err(_) => {}
                }
            }
        };
        with_timeout(common::TIMEOUT, refused).await.unwrap();
        let stats = wait_until_back(address).await;
        assert_eq!((&stats["boot"], &stats["cold"]), (&json!(2), &json!(true)));
    });
}

/// Guards against a dropped response whose request was not executed.
#[test]
fn drop_reply() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        fault(address, json!({ "drop_reply": 1 })).await;
        let body = json!({ "fence": 3, "model": "m", "version": "2" });
        let lost = send(address, Method::Post, "/v1/orders", Some(&body));
        let lost = with_timeout(Duration::from_millis(200), lost).await;
        assert!(matches!(lost, Err(Error::Timeout)));
        assert_eq!(stats(address).await["orders"][0]["fence"], 3);
    });
}

/// Guards against tokens that are sent during a freeze, and against a stream that is incomplete after it.
#[test]
fn freeze() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        let start = Instant::now();
        fault(address, json!({ "freeze_ms": 150 })).await;
        let end = complete(address, &request(1, "prompt", 5)).await;
        assert!(start.elapsed() >= Duration::from_millis(150));
        assert_eq!(end.text, text::response("prompt", 5));
    });
}

/// Guards against load reports that are up to date although they should lag.
#[test]
fn late_reports() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1.0,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        fault(address, json!({ "late_reports_ms": 60_000 })).await;
        let _stream = open(address, &request(1, "prompt", 100)).await;
        assert_eq!(get(address, "/v1/load").await.1["running"], 0);
        fault(address, json!({ "late_reports_ms": 0 })).await;
        assert_eq!(get(address, "/v1/load").await.1["running"], 1);
    });
}

/// Guards against misspelt switches that are silently ignored.
#[test]
fn unknown_switch() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let response = post(engine.address(), "/fault", json!({ "retention": 1 })).await;
        assert_eq!(response.0, 400);
        assert_eq!(response.1["error"], "unknown switch `retention`");
    });
}
