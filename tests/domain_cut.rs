//! Guards against outages, doubled sales and lost records when a network partition cuts off a domain. Checks invariants
//! 1, 5, 6, 7 and 10 of the design.

mod cluster;

use std::time::Duration;

use cluster::{unique_key, wait_until, Cluster, Load, Sale, REACTION_LIMIT};
use jujubehook::record::Kind;
use serde_json::json;

/// Time within which an accepted record is in force everywhere.
const SPREAD: Duration = Duration::from_secs(6);

/// Sales with issued keys, and as many with callers' keys.
const SALES: usize = 6;

/// A domain is cut off from the other one and from the platform. Both serve their callers with their own targets, sales
/// with issued keys succeed in both, no sale runs twice, and after the cut records and sales converge.
#[test]
fn each_serves() {
    cluster::run(async {
        let running = Cluster::new().domains(2).engines(2).start().await;
        let (north, south) = (running.instance_in("north"), running.instance_in("south"));
        running.cut_domains("north", "south").await;
        running.cut_platform("north").await;
        let load = Load::start(&running, &[north, north + 1, south, south + 1]);
        let mut issued = Vec::new();
        let mut claimed = Vec::new();
        for index in 0..SALES {
            let entry = [north, south][index % 2];
            let address = running.instances[entry].address;
            let mut sale = Sale::new(running.caller.request_key(address).await.expect("a key"));
            sale.attempt(&running, entry + 1);
            issued.push(sale);
            let mut sale = Sale::new(unique_key(&format!("domain-cut-{index}")));
            sale.attempt(&running, north);
            sale.attempt(&running, south);
            claimed.push(sale);
        }
        let body = json!({"limits": {"cold": 3}});
        let offset = running.publish(Kind::Target, "engine-north-0", body).await;
        wait_until(
            "the record is in force in the other domain",
            SPREAD,
            async || {
                let status = running.status(south).await.unwrap_or_default();
                status["offset"] == offset
            },
        )
        .await;
        for sale in &mut issued {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "{:?}",
                sale.answers
            );
            sale.check(&running).await;
        }
        for sale in &mut claimed {
            sale.finish().await;
            sale.check(&running).await;
        }
        assert!(load.finish().await > 0, "no request was answered");
        let status = running.status(north).await.unwrap_or_default();
        assert_ne!(status["offset"], offset, "the record got through the cut");
        running.heal().await;
        wait_until("the record is in force everywhere", SPREAD, async || {
            let mut in_force = true;
            for index in 0..running.instances.len() {
                let status = running.status(index).await.unwrap_or_default();
                in_force &= status["offset"] == offset;
            }
            in_force
        })
        .await;
        for sale in &mut claimed {
            sale.attempt(&running, north);
        }
        Sale::settle(&mut claimed, &running, north).await;
        for sale in &claimed {
            sale.check(&running).await;
        }
        running.wait_settled().await;
    });
}

/// The instances of one domain are cut from each other. Callers get complete answers, and after the cut each target has
/// one owner again.
#[test]
fn split_inside() {
    cluster::run(async {
        let running = Cluster::new().instances(2).engines(2).start().await;
        running.cut_inside("north").await;
        wait_until("each side owns the targets", REACTION_LIMIT, async || {
            running.owners("engine-north-0").await.len() == 2
        })
        .await;
        let load = Load::start(&running, &[0]);
        let sides = [running.status(0).await, running.status(1).await];
        assert!(
            sides.iter().all(Option::is_some),
            "an instance does not answer"
        );
        running.heal().await;
        running.wait_settled().await;
        assert!(load.finish().await > 0, "no request was answered");
    });
}
