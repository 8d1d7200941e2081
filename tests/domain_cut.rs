//! Guards against outages, doubled sales and lost records when a network partition cuts off a domain. Checks invariants
//! 1, 5, 6, 7 and 10 of the design.

mod cluster;

use std::time::Duration;

use cluster::{unique_key, wait_until, ClusterBuilder, Load, Sale, REACTION_LIMIT};
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
        let cluster = ClusterBuilder::new().domains(2).engines(2).start().await;
        let (north, south) = (cluster.instance_in("north"), cluster.instance_in("south"));
        cluster.cut_domains("north", "south").await;
        cluster.cut_platform("north").await;
        let load = Load::start(&cluster, &[north, north + 1, south, south + 1]);
        let mut issued = Vec::new();
        let mut claimed = Vec::new();
        for index in 0..SALES {
            let entry = [north, south][index % 2];
            let address = cluster.instances[entry].address;
            let mut sale = Sale::new(cluster.caller.request_key(address).await.expect("a key"));
            sale.attempt(&cluster, entry + 1);
            issued.push(sale);
            let mut sale = Sale::new(unique_key(&format!("domain-cut-{index}")));
            sale.attempt(&cluster, north);
            sale.attempt(&cluster, south);
            claimed.push(sale);
        }
        let body = json!({"limits": {"cold": 3}});
        let offset = cluster.publish(Kind::Target, "engine-north-0", body).await;
        wait_until(
            "the record is in force in the other domain",
            SPREAD,
            async || {
                let status = cluster.status(south).await.unwrap_or_default();
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
            sale.check(&cluster).await;
        }
        for sale in &mut claimed {
            sale.finish().await;
            sale.check(&cluster).await;
        }
        assert!(load.finish().await > 0, "no request was answered");
        let status = cluster.status(north).await.unwrap_or_default();
        assert_ne!(status["offset"], offset, "the record got through the cut");
        cluster.heal().await;
        wait_until("the record is in force everywhere", SPREAD, async || {
            let mut in_force = true;
            for index in 0..cluster.instances.len() {
                let status = cluster.status(index).await.unwrap_or_default();
                in_force &= status["offset"] == offset;
            }
            in_force
        })
        .await;
        for sale in &mut claimed {
            sale.attempt(&cluster, north);
        }
        Sale::settle(&mut claimed, &cluster, north).await;
        for sale in &claimed {
            sale.check(&cluster).await;
        }
        cluster.wait_settled().await;
    });
}

/// The instances of one domain are cut from each other. Callers get complete answers, and after the cut each target has
/// one owner again.
#[test]
fn split_inside() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().instances(2).engines(2).start().await;
        cluster.cut_inside("north").await;
        wait_until("each side owns the targets", REACTION_LIMIT, async || {
            cluster.owners("engine-north-0").await.len() == 2
        })
        .await;
        let load = Load::start(&cluster, &[0]);
        let sides = [cluster.status(0).await, cluster.status(1).await];
        assert!(
            sides.iter().all(Option::is_some),
            "an instance does not answer"
        );
        cluster.heal().await;
        cluster.wait_settled().await;
        assert!(load.finish().await > 0, "no request was answered");
    });
}
