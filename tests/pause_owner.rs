//! Guards against two owners of a target at a time when one is paused past its lease. Proves points 1, 3 and 5.

mod cluster;

use std::time::Duration;

use cluster::{until, Asked, Cluster, Running, FEW_SECONDS};

const DEADLINE: Duration = Duration::from_secs(30);

/// Streams that an engine tolerates while it is cold.
const COLD_LIMIT: u64 = 2;

/// An owner of engines that stay cold is paused under load past its lease and continues: no engine ever has more
/// streams than it tolerates, and all streams that entered elsewhere end whole.
#[test]
fn one_owner_at_a_time() {
    cluster::run(async {
        let cold = |engine: &mut jujubehook_standin::engine::Settings| engine.warm_after = 100_000;
        let running = Cluster::new()
            .instances(3)
            .engines(4)
            .engine(cold)
            .start()
            .await;
        let (owner, _) = running.main_owner().await;
        let others: Vec<usize> = (0..3).filter(|&index| index != owner).collect();
        let mut streams = Vec::new();
        for number in 0..24 {
            let asked = Asked::new(number, 500, 100, DEADLINE);
            let entry = if number % 4 == 0 {
                owner
            } else {
                others[number % 2]
            };
            streams.push((running.complete(entry, &asked), asked));
        }
        wait_full(&running).await;
        running.pause(owner);
        until("the others own all engines", FEW_SECONDS, async || {
            for engine in &running.engines {
                let owners = running.owners(&engine.id).await;
                if !owners.iter().any(|owner| others.contains(owner)) {
                    return false;
                }
            }
            true
        })
        .await;
        for number in 100..124 {
            let asked = Asked::new(number, 500, 100, DEADLINE);
            streams.push((running.complete(others[number % 2], &asked), asked));
        }
        until("the new owners have dispatched", FEW_SECONDS, async || {
            let mut dispatched = 0;
            for &other in &others {
                let status = running.status(other).await.unwrap_or_default();
                let targets = status["targets"].as_array().cloned().unwrap_or_default();
                dispatched += targets
                    .iter()
                    .filter(|target| target["queued"] != 0)
                    .count();
            }
            dispatched == running.engines.len()
        })
        .await;
        wait_full(&running).await;
        running.resume(owner);
        for (stream, asked) in streams {
            asked.check_whole(&stream.await);
        }
        running.wait_settled().await;
        running.wait_released(FEW_SECONDS).await;
        for engine in &running.engines {
            let stats = running.stats(engine.address).await;
            assert_eq!(stats["falls"], 0, "`{}` crashed under load", engine.id);
            let peak = stats["peak_cold"].as_u64();
            assert!(
                peak <= Some(COLD_LIMIT),
                "`{}` had {peak:?} streams",
                engine.id
            );
        }
    });
}

/// Waits until each engine has as many streams as it tolerates.
async fn wait_full(running: &Running) {
    until("all engines are at their limit", FEW_SECONDS, async || {
        for engine in &running.engines {
            if running.stats(engine.address).await["running"] != COLD_LIMIT {
                return false;
            }
        }
        true
    })
    .await;
}
