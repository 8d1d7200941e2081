//! Guards against new work in a domain that operators have taken out of service, and against overload of its targets
//! when it returns. Checks invariants 3, 4, 6 and 7 of the design.

mod cluster;

use std::time::Duration;

use cluster::{
    unique_key, unix_ms, wait_until, Cluster, Completion, Load, Running, Sale, REACTION_LIMIT,
};
use jujubehook::record::Kind;
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// A domain is taken out of service under load and returns. After 5 s its targets get no new work, running streams
/// complete, sales succeed, and after the return its targets serve again without a crash.
#[test]
fn leaves_and_returns() {
    cluster::run(async {
        let running = Cluster::new().domains(2).engines(2).start().await;
        let inside = running.instance_in("north");
        let outside = running.instance_in("south");
        let completion = Completion::new(1, 1_000, 600, DEADLINE);
        let long = running.complete(inside, &completion);
        let load = Load::start(&running, &[inside, outside]);
        wait_served(&running, 0).await;
        publish(&running, false).await;
        let out = unix_ms();
        wait_until(
            "the instances of the domain are not ready",
            REACTION_LIMIT,
            async || running.is_ready(inside).await == Some(false),
        )
        .await;
        let mut sales = Vec::new();
        for index in 0..6 {
            let mut sale = Sale::new(unique_key(&format!("domain-out-{index}")));
            sale.attempt(&running, [inside, outside][index % 2]);
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
            sale.check(&running).await;
        }
        let back = unix_ms();
        check_quiet(&running, out, back).await;
        publish(&running, true).await;
        wait_served(&running, back).await;
        load.finish().await;
        running.wait_settled().await;
        check_crashes(&running).await;
    });
}

async fn publish(running: &Running, in_service: bool) {
    running
        .publish(
            Kind::Domain,
            "north",
            json!({"service": {"in": in_service}}),
        )
        .await;
}

/// Waits until each engine of the domain has received a request after `since`.
async fn wait_served(running: &Running, since: u64) {
    wait_until(
        "all engines of the domain serve",
        REACTION_LIMIT * 2,
        async || {
            for engine in running
                .engines
                .iter()
                .filter(|engine| engine.domain == "north")
            {
                if running.last_request(engine.address).await <= since {
                    return false;
                }
            }
            true
        },
    )
    .await;
}

/// Checks that no target of the domain received work between 5 s after `out` and `back`.
async fn check_quiet(running: &Running, out: u64, back: u64) {
    let limit = out + REACTION_LIMIT.as_millis() as u64;
    for target in running.engines.iter().chain(&running.services) {
        let stats = running.stats(target.address).await;
        let times = running.request_times(&stats);
        let late = times.iter().any(|&at| at > limit && at < back);
        assert!(
            target.domain != "north" || !late,
            "`{}` got new work",
            target.id
        );
    }
}

async fn check_crashes(running: &Running) {
    for engine in &running.engines {
        let stats = running.stats(engine.address).await;
        assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
    }
}
