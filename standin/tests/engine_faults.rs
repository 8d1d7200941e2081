//! Fault switches of the engine.

mod common;

use std::time::{Duration, Instant};

use common::{ask, back, complete, engine, fault, get, open, post, quick, send, stats, try_open};
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Error};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::text;
use serde_json::json;

/// Guards against a `cross` fault that does nothing or that hits more than one frame.
#[test]
fn cross() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 50.0,
            ..quick()
        })
        .await;
        let address = engine.address();
        let mut other = open(address, &ask(1, "other", 1_000)).await;
        assert!(other.next().await.is_some());
        drop(other);
        fault(address, json!({ "cross": true })).await;
        let mut stream = open(address, &ask(2, "prompt", 3)).await;
        let mut attempts = Vec::new();
        while let Some(event) = stream.next().await {
            attempts.push(event["attempt"].as_str().unwrap().ends_with('1'));
        }
        assert_eq!(attempts.iter().filter(|foreign| **foreign).count(), 1);
        assert_eq!(
            attempts.len(),
            5,
            "one foreign frame, three tokens, one end"
        );
    });
}

/// Guards against a death that keeps connections, state or the boot number.
#[test]
fn die() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1.0,
            ..quick()
        })
        .await;
        let address = engine.address();
        let stream = open(address, &ask(1, "prompt", 100)).await;
        fault(address, json!({ "die_ms": 100 })).await;
        assert!(stream.end().await.finish.is_none());
        let refused = async {
            loop {
                match try_open(address, &ask(2, "prompt", 1)).await {
                    Err(error) if error.is_unsent() => return Ok(()),
                    Ok(_) | Err(_) => {}
                }
            }
        };
        with_timeout(common::PATIENCE, refused).await.unwrap();
        let stats = back(address).await;
        assert_eq!((&stats["boot"], &stats["cold"]), (&json!(2), &json!(true)));
    });
}

/// Guards against a lost reply whose request had no effect.
#[test]
fn drop_reply() {
    smol::block_on(async {
        let engine = engine(quick()).await;
        let address = engine.address();
        fault(address, json!({ "drop_reply": 1 })).await;
        let body = json!({ "fence": 3, "model": "m", "version": "2" });
        let lost = send(address, Method::Post, "/v1/orders", Some(&body));
        let lost = with_timeout(Duration::from_millis(200), lost).await;
        assert!(matches!(lost, Err(Error::Timeout)));
        assert_eq!(stats(address).await["orders"][0]["fence"], 3);
    });
}

/// Guards against a freeze that lets tokens through, or after which the stream is incomplete.
#[test]
fn freeze() {
    smol::block_on(async {
        let engine = engine(quick()).await;
        let address = engine.address();
        let start = Instant::now();
        fault(address, json!({ "freeze_ms": 150 })).await;
        let end = complete(address, &ask(1, "prompt", 5)).await;
        assert!(start.elapsed() >= Duration::from_millis(150));
        assert_eq!(end.text, text::response("prompt", 5));
    });
}

/// Guards against load reports that are up to date although they lag.
#[test]
fn late_reports() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1.0,
            ..quick()
        })
        .await;
        let address = engine.address();
        fault(address, json!({ "late_reports_ms": 60_000 })).await;
        let _stream = open(address, &ask(1, "prompt", 100)).await;
        assert_eq!(get(address, "/v1/load").await.1["running"], 0);
        fault(address, json!({ "late_reports_ms": 0 })).await;
        assert_eq!(get(address, "/v1/load").await.1["running"], 1);
    });
}

/// Guards against misspelt switches that are silently without effect.
#[test]
fn unknown_switch() {
    smol::block_on(async {
        let engine = engine(quick()).await;
        let reply = post(engine.address(), "/fault", json!({ "retention": 1 })).await;
        assert_eq!(reply.0, 400);
        assert_eq!(reply.1["error"], "unknown switch `retention`");
    });
}
