//! Guards against failures that occur only when several faults coincide. Checks invariants 1, 3, 5, 6 and 7 of the
//! design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, ClusterBuilder, Completion, Sale, REACTION_LIMIT};
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// The log goes down, the owner of most engines is killed and one of its engines crashes, all at once. Streams through
/// other instances complete or end with an error in time. Afterwards all targets have an owner, sales with issued keys
/// succeed and no engine memory stays in use.
#[test]
fn log_owner_engine() {
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
        let mut engine = None;
        wait_until(
            "an engine of the owner has a stream",
            REACTION_LIMIT,
            async || {
                for &index in &owned {
                    let address = cluster.engines[index].address;
                    if cluster.stats(address).await["running"].as_u64() > Some(0) {
                        engine = Some(address);
                    }
                }
                engine.is_some()
            },
        )
        .await;
        let engine = engine.expect("an engine with a stream");
        cluster
            .set_faults(cluster.log(), json!({"down_ms": 8_000}))
            .await;
        cluster.set_faults(engine, json!({"die_ms": 600})).await;
        cluster.kill(owner).await;
        cluster.wait_settled().await;
        let gone = smol::net::TcpStream::connect(cluster.log()).await.is_err();
        assert!(gone, "the log was up before the targets had owners");
        for &entry in &others {
            let address = cluster.instances[entry].address;
            let mut sale = Sale::new(cluster.caller.request_key(address).await.expect("a key"));
            sale.attempt(&cluster, entry);
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
            sale.check(&cluster).await;
        }
        for (stream, completion) in streams {
            completion.check(&stream.await);
        }
        cluster.wait_up(engine).await;
        cluster.wait_released(REACTION_LIMIT).await;
        for engine in &cluster.engines {
            let stats = cluster.stats(engine.address).await;
            assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
        }
    });
}
