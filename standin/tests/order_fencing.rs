//! Orders with fencing numbers, and the weight store that they read from.

mod common;

use common::{engine, fast_engine, get, loopback, post, request, stats};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::{store, Store};
use serde_json::{json, Value};

fn order(fence: u64, model: &str) -> Value {
    json!({ "fence": fence, "model": model, "version": "2" })
}

/// Guards against stale orders that are accepted although fencing is checked, or refused although it is not.
#[test]
fn old_fence() {
    smol::block_on(async {
        for (check_fencing, status, count) in [(true, 409, 1), (false, 200, 2)] {
            let engine = engine(Settings {
                check_fencing,
                ..fast_engine()
            })
            .await;
            let address = engine.address();
            assert_eq!(post(address, "/v1/orders", order(5, "n")).await.0, 200);
            assert_eq!(post(address, "/v1/orders", order(4, "m")).await.0, status);
            let stats = stats(address).await;
            assert_eq!(stats["orders"].as_array().unwrap().len(), count);
        }
    });
}

/// Guards against an order that succeeds but loads nothing.
#[test]
fn loaded_model() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        assert_eq!(post(address, "/v1/orders", order(1, "n")).await.0, 200);
        assert_eq!(get(address, "/v1/orders").await.1["model"], "n");
        assert_eq!(
            post(address, "/v1/completions", request(1, "x", 1)).await.0,
            404
        );
    });
}

/// Guards against loads that bypass the rate limit of the weight store.
#[test]
fn paced_weights() {
    smol::block_on(async {
        let settings = store::Settings {
            rate: 0.001,
            ..store::Settings::default()
        };
        let store = Store::start(loopback(), settings).await.unwrap();
        let engine = engine(Settings {
            store: Some(store.address()),
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        assert_eq!(post(address, "/v1/orders", order(1, "n")).await.0, 200);
        assert_eq!(
            post(address, "/v1/orders", order(2, "n")).await.0,
            200,
            "no new weights"
        );
        assert_eq!(post(address, "/v1/orders", order(3, "o")).await.0, 429);
        assert_eq!(get(address, "/v1/orders").await.1["model"], "n");
        let stats = stats(store.address()).await;
        assert_eq!(
            (stats["reads"].as_array().unwrap().len(), &stats["refused"]),
            (1, &json!(1))
        );
    });
}
