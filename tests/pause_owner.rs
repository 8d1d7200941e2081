//! Guards against a target with two owners at a time when one of them is paused for longer than its lease. Checks
//! invariants 1, 3 and 5 of the design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, Cluster, ClusterBuilder, Completion, REACTION_LIMIT};

const DEADLINE: Duration = Duration::from_secs(30);

/// Streams that an engine can run while it is cold.
const COLD_LIMIT: u64 = 2;

/// An owner of engines that stay cold is paused under load for longer than its lease and then resumed. No engine ever
/// has more streams than it can run cold, and all streams complete.
#[test]
fn one_owner_at_a_time() {
    cluster::run(async {
        let cold = |engine: &mut jujubehook_standin::engine::Settings| engine.warm_after = 100_000;
        let cluster = ClusterBuilder::new()
            .instances(3)
            .engines(4)
            .engine(cold)
            .start()
            .await;
        let (owner, _) = cluster.main_owner().await;
        let others: Vec<usize> = (0..3).filter(|&index| index != owner).collect();
        let mut streams = Vec::new();
        for number in 0..24 {
            let completion = Completion::new(number, 500, 100, DEADLINE);
            let entry = if number % 4 == 0 {
                owner
            } else {
                others[number % 2]
            };
            streams.push((cluster.complete(entry, &completion), completion));
        }
        wait_until("work is queued at the owner", REACTION_LIMIT, async || {
            queued(&cluster, owner).await > 0
        })
        .await;
        cluster.pause(owner);
        wait_until("the others own all engines", REACTION_LIMIT, async || {
            for engine in &cluster.engines {
                let owners = cluster.owners(&engine.id).await;
                if !owners.iter().any(|owner| others.contains(owner)) {
                    return false;
                }
            }
            true
        })
        .await;
        for number in 100..124 {
            let completion = Completion::new(number, 500, 200, DEADLINE);
            streams.push((
                cluster.complete(others[number % 2], &completion),
                completion,
            ));
        }
        wait_until(
            "work is queued at the new owners",
            REACTION_LIMIT,
            async || queued(&cluster, others[0]).await + queued(&cluster, others[1]).await > 0,
        )
        .await;
        cluster.resume(owner);
        for (stream, completion) in streams {
            completion.check_whole(&stream.await);
        }
        cluster.wait_settled().await;
        cluster.wait_released(REACTION_LIMIT).await;
        for engine in &cluster.engines {
            let stats = cluster.stats(engine.address).await;
            assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
            let peak = stats["peak_cold"].as_u64();
            assert!(
                peak <= Some(COLD_LIMIT),
                "`{}` had {peak:?} streams",
                engine.id
            );
        }
    });
}

/// Number of requests in the queues of the engines that an instance owns. They wait there while the engines are full.
async fn queued(cluster: &Cluster, instance: usize) -> u64 {
    let status = cluster.status(instance).await.unwrap_or_default();
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let queued = targets
        .iter()
        .filter_map(|target| target["queued"].as_u64());
    queued.sum()
}
