//! Guards against lost or endless streams when the owner of targets dies. Checks invariants 1, 2, 3 and 5 of the
//! design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, ClusterBuilder, Completion, REACTION_LIMIT};

const DEADLINE: Duration = Duration::from_secs(30);

/// When the owner of targets is killed, streams through other instances complete, or end with an error in time. The
/// targets get another owner, and no memory stays in use on them.
#[test]
fn streams_survive() {
    cluster::run(async {
        let mut cluster = ClusterBuilder::new().instances(3).engines(4).start().await;
        let (owner, owned) = cluster.main_owner().await;
        let others: Vec<usize> = (0..3).filter(|&index| index != owner).collect();
        let mut streams = Vec::new();
        for number in 0..8 {
            let completion = Completion::new(number, 1_000, 300, DEADLINE);
            streams.push((
                cluster.complete(others[number % 2], &completion),
                completion,
            ));
        }
        wait_until(
            "streams run on the owner's engines",
            REACTION_LIMIT,
            async || {
                let mut count = 0;
                for &engine in &owned {
                    let stats = cluster.stats(cluster.engines[engine].address).await;
                    count += stats["running"].as_u64().unwrap_or_default();
                }
                count > 0
            },
        )
        .await;
        cluster.kill(owner).await;
        let mut whole = 0;
        for (stream, completion) in streams {
            let answer = stream.await;
            completion.check(&answer);
            whole += u32::from(answer.is_ok());
        }
        assert!(whole > 0, "no stream was completed");
        cluster.wait_settled().await;
        cluster.wait_released(REACTION_LIMIT).await;
        for engine in &cluster.engines {
            let stats = cluster.stats(engine.address).await;
            assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
        }
    });
}
