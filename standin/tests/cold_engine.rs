//! Cold engines crash above their limit of streams and become warm after some completed requests.

mod common;

use common::{complete, engine, fast_engine, fault, open, request, stats, try_open, wait_until};
use jujubehook_standin::engine::Settings;
use serde_json::json;

fn cold_engine() -> Settings {
    Settings {
        cold: true,
        cold_factor: 1.0,
        cold_limit: 2,
        decode_rate: 1.0,
        restart_ms: 1,
        warm_after: 2,
        ..fast_engine()
    }
}

/// Guards against a crash that keeps streams, their memory or the boot number.
#[test]
fn crash_over_limit() {
    smol::block_on(async {
        let engine = engine(cold_engine()).await;
        let address = engine.address();
        let first = open(address, &request(1, "one", 100)).await;
        let second = open(address, &request(2, "two", 100)).await;
        assert!(try_open(address, &request(3, "three", 100)).await.is_err());
        assert!(first.end().await.finish.is_none());
        assert!(second.end().await.finish.is_none());
        let stats = common::wait_until_back(address).await;
        assert_eq!((&stats["boot"], &stats["crashes"]), (&json!(2), &json!(1)));
        assert_eq!(
            (&stats["cold"], &stats["peak_cold"]),
            (&json!(true), &json!(3))
        );
        assert_eq!(
            (&stats["running"], &stats["memory"]["reserved"]),
            (&json!(0), &json!(0))
        );
    });
}

/// Guards against a crash below the limit, and against an engine that stays cold.
#[test]
fn warm_by_work() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1_000.0,
            ..cold_engine()
        })
        .await;
        let address = engine.address();
        for attempt in 0..2 {
            assert_eq!(stats(address).await["cold"], true);
            complete(address, &request(attempt, "prompt", 1)).await;
        }
        let stats = wait_until(address, "warm", |stats| stats["cold"] == false).await;
        assert_eq!(
            (&stats["crashes"], &stats["peak_cold"]),
            (&json!(0), &json!(1))
        );
    });
}

/// Guards against a `cold` switch that changes the boot number or ends running streams.
#[test]
fn mark_cold() {
    smol::block_on(async {
        let engine = engine(Settings {
            cold: false,
            ..cold_engine()
        })
        .await;
        let address = engine.address();
        let mut streams = Vec::new();
        for attempt in 0..3 {
            streams.push(open(address, &request(attempt, "prompt", 100)).await);
        }
        fault(address, json!({ "cold": true })).await;
        let marked_cold = stats(address).await;
        assert_eq!(
            (&marked_cold["boot"], &marked_cold["running"]),
            (&json!(1), &json!(3))
        );
        assert!(try_open(address, &request(9, "prompt", 1)).await.is_err());
        assert_eq!(common::wait_until_back(address).await["crashes"], 1);
    });
}
