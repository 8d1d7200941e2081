//! Guards against new work for a target that a record marks as leaving. Checks invariants 1 and 8 of the design.

mod cluster;

use std::time::Duration;

use cluster::{unix_ms, wait_until, ClusterBuilder, Completion, Load, REACTION_LIMIT};
use jujubehook::record::Kind;
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// A target is marked as leaving under load. After 5 s it gets no new work, its running streams complete, and the other
/// targets keep serving.
#[test]
fn gets_nothing_new() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().engines(3).start().await;
        let mut streams = Vec::new();
        for number in 0..6 {
            let completion = Completion::new(number, 1_000, 400, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        let load = Load::start(&cluster, &[0, 1]);
        let leaving = &cluster.engines[0];
        wait_until("the target serves", REACTION_LIMIT, async || {
            cluster.stats(leaving.address).await["running"].as_u64() > Some(0)
        })
        .await;
        cluster
            .publish(Kind::Target, &leaving.id, json!({"leaving": true}))
            .await;
        let out = unix_ms();
        let limit = out + REACTION_LIMIT.as_millis() as u64;
        wait_until(
            "5 s have passed since the record",
            REACTION_LIMIT * 2,
            async || unix_ms() > limit + 1_000,
        )
        .await;
        for (stream, completion) in streams {
            completion.check_whole(&stream.await);
        }
        let answers = load.finish().await;
        assert!(answers > 0, "no request was answered");
        let last = cluster.last_request(leaving.address).await;
        assert!(
            last <= limit,
            "new work {} ms after the record",
            last.saturating_sub(out)
        );
        let others = cluster.last_request(cluster.engines[1].address).await;
        assert!(others > limit, "the other targets do not serve");
    });
}
