//! Guards against new work in a domain that operators have taken out of service, and against overload of its targets
//! when it returns. Checks invariants 3, 4, 6 and 7 of the design.

mod cluster;

use std::time::Duration;

use cluster::{
    unique_key, unix_ms, wait_until, Cluster, ClusterBuilder, Completion, Load, Sale,
    REACTION_LIMIT,
};
use jujubehook::record::Kind;
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// A domain is taken out of service under load and returns. After 5 s its targets get no new work, running streams
/// complete, sales succeed, and after the return its targets serve again without a crash.
#[test]
fn leaves_and_returns() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().domains(2).engines(2).start().await;
        let inside = cluster.instance_in("north");
        let outside = cluster.instance_in("south");
        let completion = Completion::new(1, 1_000, 600, DEADLINE);
        let long = cluster.complete(inside, &completion);
        let load = Load::start(&cluster, &[inside, outside]);
        wait_served(&cluster, 0).await;
        publish(&cluster, false).await;
        let out = unix_ms();
        wait_until(
            "the instances of the domain are not ready",
            REACTION_LIMIT,
            async || cluster.is_ready(inside).await == Some(false),
        )
        .await;
        let mut sales = Vec::new();
        for index in 0..6 {
            let mut sale = Sale::new(unique_key(&format!("domain-out-{index}")));
            sale.attempt(&cluster, [inside, outside][index % 2]);
            sales.push(sale);
        }
        completion.check_whole(&long.await);
        wait_until(
            "5 s have passed since the record",
            REACTION_LIMIT * 2,
            async || unix_ms() > out + REACTION_LIMIT.as_millis() as u64 + 500,
        )
        .await;
        for sale in &mut sales {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
            sale.check(&cluster).await;
        }
        let back = unix_ms();
        check_quiet(&cluster, out, back).await;
        publish(&cluster, true).await;
        wait_served(&cluster, back).await;
        load.finish().await;
        cluster.wait_settled().await;
        check_crashes(&cluster).await;
    });
}

async fn publish(cluster: &Cluster, in_service: bool) {
    cluster
        .publish(
            Kind::Domain,
            "north",
            json!({"service": {"in": in_service}}),
        )
        .await;
}

/// Waits until each engine of the domain has received a request after `since`.
async fn wait_served(cluster: &Cluster, since: u64) {
    wait_until(
        "all engines of the domain serve",
        REACTION_LIMIT * 2,
        async || {
            for engine in cluster
                .engines
                .iter()
                .filter(|engine| engine.domain == "north")
            {
                if cluster.last_request(engine.address).await <= since {
                    return false;
                }
            }
            true
        },
    )
    .await;
}

/// Checks that no target of the domain received work between 5 s after `out` and `back`.
async fn check_quiet(cluster: &Cluster, out: u64, back: u64) {
    let limit = out + REACTION_LIMIT.as_millis() as u64;
    for target in cluster.engines.iter().chain(&cluster.services) {
        let stats = cluster.stats(target.address).await;
        let times = cluster.request_times(&stats);
        let late = times.iter().any(|&at| at > limit && at < back);
        assert!(
            target.domain != "north" || !late,
            "`{}` got new work",
            target.id
        );
    }
}

async fn check_crashes(cluster: &Cluster) {
    for engine in &cluster.engines {
        let stats = cluster.stats(engine.address).await;
        assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
    }
}
