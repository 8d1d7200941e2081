//! The plain service: execution counts and crashes while cold.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{fault, loopback, stats, wait_until, wait_until_back};
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Error, Reuse};
use jujubehook_standin::service::{Service, Settings};
use serde_json::{json, Value};

async fn call(address: SocketAddr, key: &str) -> Result<Value, Error> {
    let mut request = Client::request(Method::Post, address, "/call/sell")?;
    request.insert_header("idempotency-key", key);
    request.set_body("{\"seat\":1}");
    let client = Client::default();
    let (response, bytes) = client
        .fetch(address, request, Reuse::Never, 1 << 20)
        .await?;
    assert!(response.header("x-boot").is_some());
    Ok(serde_json::from_slice(&bytes)?)
}

/// Guards against repeated executions that are not counted.
#[test]
fn repeated_key() {
    smol::block_on(async {
        let service = Service::start(loopback(), Settings::default())
            .await
            .unwrap();
        let address = service.address();
        let first = call(address, "k").await.unwrap();
        assert_eq!(
            first,
            json!({ "body": { "seat": 1 }, "name": "sell", "sequence": 1 })
        );
        assert_eq!(call(address, "k").await.unwrap()["sequence"], 2);
        let calls = json!([{ "count": 2, "key": "k", "name": "sell" }]);
        assert_eq!(stats(address).await["calls"], calls);
    });
}

/// Guards against a dropped response whose call was not executed.
#[test]
fn lost_reply() {
    smol::block_on(async {
        let service = Service::start(loopback(), Settings::default())
            .await
            .unwrap();
        fault(service.address(), json!({ "drop_reply": 1 })).await;
        let lost = with_timeout(Duration::from_millis(200), call(service.address(), "k")).await;
        assert!(matches!(lost, Err(Error::Timeout)));
        assert_eq!(stats(service.address()).await["calls"][0]["count"], 1);
    });
}

/// Guards against a crash by `die_ms` that loses the execution counts.
#[test]
fn die() {
    smol::block_on(async {
        let settings = Settings {
            boot: 1,
            work_ms: 60_000,
            ..Settings::default()
        };
        let service = Service::start(loopback(), settings).await.unwrap();
        let address = service.address();
        let call = smol::spawn(call(address, "k"));
        wait_until(address, "call", |stats| stats["running"] == 1).await;
        fault(address, json!({ "die_ms": 20 })).await;
        assert!(call.await.is_err());
        let stats = wait_until_back(address).await;
        assert_eq!(stats["calls"][0]["count"], 1);
        let state = (&stats["boot"], &stats["cold"], &stats["running"]);
        assert_eq!(state, (&json!(2), &json!(true), &json!(0)));
    });
}

/// Guards against a cold service that does not crash above its limit, or that executes the call that crashes it.
#[test]
fn cold_crash() {
    smol::block_on(async {
        let settings = Settings {
            cold: true,
            cold_limit: 1,
            work_ms: 60_000,
            restart_ms: 1,
            ..Settings::default()
        };
        let service = Service::start(loopback(), settings).await.unwrap();
        let address = service.address();
        let first = smol::spawn(call(address, "a"));
        wait_until(address, "call", |stats| stats["running"] == 1).await;
        assert!(call(address, "b").await.is_err());
        assert!(first.await.is_err());
        let stats = wait_until_back(address).await;
        assert_eq!(
            (&stats["crashes"], &stats["peak_cold"]),
            (&json!(1), &json!(2))
        );
        assert_eq!(
            stats["calls"].as_array().unwrap().len(),
            1,
            "the call that crashed it was not executed"
        );
    });
}
