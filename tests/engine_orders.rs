//! Guards against orders of a former controller that undo newer ones, and against a domain that gets no new controller
//! after a crash.

use std::time::{Duration, Instant};

use jujubehook::load::{Fleet, Settings};
use jujubehook::record::Kind;
use jujubehook::settings::Network;
use serde_json::{json, Value};
use smol::Timer;

/// Covers two terms, each with a lease, a delay of up to half a lease that differs between instances, and the delay
/// before orders to engines that do not check fencing numbers.
const LIMIT: Duration = Duration::from_secs(20);

async fn publish_version(fleet: &Fleet, version: &str) {
    for (id, _, _) in fleet.engines() {
        let checks = id.ends_with('0');
        let load = json!({"model": "resin", "version": version});
        let body = json!({"orders": {"checks_fencing": checks, "load": load}});
        fleet.publish(Kind::Target, &id, body).await.unwrap();
    }
}

/// Waits until every engine has loaded `version`. Returns the fencing numbers of the orders that each engine accepted.
async fn fences(fleet: &Fleet, version: &str) -> Vec<Vec<u64>> {
    let end = Instant::now() + LIMIT;
    loop {
        let mut all = Vec::new();
        for (_, _, address) in fleet.engines() {
            let stats = fleet.stats(address).await.unwrap();
            let orders = stats["orders"].as_array().unwrap().clone();
            if orders.last().is_some_and(|last| last["version"] == version) {
                let fence = |order: &Value| order["fence"].as_u64().unwrap();
                all.push(orders.iter().map(fence).collect::<Vec<_>>());
            }
        }
        if all.len() == fleet.engines().len() {
            return all;
        }
        assert!(Instant::now() < end, "version {version} is not loaded");
        Timer::after(Duration::from_millis(50)).await;
    }
}

#[test]
fn controller_crash() {
    smol::block_on(async {
        let mut fleet = Fleet::start(Settings {
            domains: 1,
            engines: 2,
            instances: 2,
            network: Network {
                controller_delay: Duration::from_millis(500),
                controller_lease: Duration::from_millis(1_500),
                ..Network::default()
            },
            ..Settings::default()
        })
        .await
        .unwrap();
        publish_version(&fleet, "2").await;
        let first = fences(&fleet, "2").await;
        assert!(first.concat().iter().all(|fence| *fence > 0));
        let holder = fleet.controller().unwrap();
        fleet.kill(holder);
        publish_version(&fleet, "3").await;
        let second = fences(&fleet, "3").await;
        for fences in &second {
            assert!(fences.is_sorted(), "{fences:?}");
            assert!(fences.last() > first.concat().iter().max());
        }
    });
}
