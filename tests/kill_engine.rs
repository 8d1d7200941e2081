//! Guards against broken streams and overload when an engine crashes and returns cold. Checks invariants 1, 3 and 5 of
//! the design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, Cluster, ClusterBuilder, Completion, REACTION_LIMIT};
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// Streams that an engine can run while it is cold.
const COLD_LIMIT: u64 = 2;

/// Downtime of a crashed engine in milliseconds.
const DOWN_MS: u64 = 500;

/// Streams of an engine that crashes continue on another one without missing or repeated tokens. When the engine is
/// back, it gets no more streams than it can run while cold.
#[test]
fn streams_continue() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().instances(2).engines(3).start().await;
        warm(&cluster).await;
        let mut streams = Vec::new();
        for number in 100..118 {
            let completion = Completion::new(number, 1_000, 300, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        let victim = busy_engine(&cluster).await;
        let address = cluster.engines[victim].address;
        cluster
            .set_faults(address, json!({"die_ms": DOWN_MS}))
            .await;
        cluster.wait_down(address).await;
        cluster.wait_up(address).await;
        for number in 200..240 {
            let completion = Completion::new(number, 1_000, 100, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        for (stream, completion) in streams {
            completion.check_whole(&stream.await);
        }
        cluster.wait_released(REACTION_LIMIT).await;
        check_limits(&cluster).await;
    });
}

/// An engine turns cold while it has more streams than it can run cold. It gets no new ones until these have ended, and
/// then no more than its limit.
#[test]
fn cold_in_silence() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().instances(2).engines(1).start().await;
        warm(&cluster).await;
        let address = cluster.engines[0].address;
        let mut streams = Vec::new();
        for number in 100..106 {
            let completion = Completion::new(number, 1_000, 200, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        wait_until(
            "more streams run than a cold engine can run",
            REACTION_LIMIT,
            async || cluster.stats(address).await["running"].as_u64() > Some(COLD_LIMIT),
        )
        .await;
        cluster.set_faults(address, json!({"cold": true})).await;
        wait_until(
            "the owner knows that the engine is cold",
            REACTION_LIMIT,
            async || state(&cluster).await.as_deref() == Some("cold"),
        )
        .await;
        let before = cluster.stats(address).await;
        for number in 200..212 {
            let completion = Completion::new(number, 1_000, 50, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        for (stream, completion) in streams {
            completion.check_whole(&stream.await);
        }
        let after = cluster.stats(address).await;
        assert_eq!(after["crashes"], before["crashes"], "crashed under load");
        assert_eq!(
            after["peak_cold"], before["peak_cold"],
            "got more while cold"
        );
    });
}

/// State of the engine as its owner reports it.
async fn state(cluster: &Cluster) -> Option<String> {
    for index in 0..cluster.instances.len() {
        let status = cluster.status(index).await?;
        let targets = status["targets"].as_array()?.clone();
        let engine = targets
            .iter()
            .find(|target| target["target"] == "engine-north-0");
        if let Some(engine) = engine {
            return engine["state"].as_str().map(str::to_owned);
        }
    }
    None
}

/// Sends small requests until no engine is cold.
async fn warm(cluster: &Cluster) {
    let mut number = 0;
    wait_until("all engines warm", Duration::from_secs(20), async || {
        let mut streams = Vec::new();
        for _ in 0..6 {
            number += 1;
            let completion = Completion::new(10_000 + number, 300, 2, DEADLINE);
            streams.push((cluster.complete(number % 2, &completion), completion));
        }
        for (stream, completion) in streams {
            completion.check_whole(&stream.await);
        }
        for engine in &cluster.engines {
            if cluster.stats(engine.address).await["cold"] != false {
                return false;
            }
        }
        true
    })
    .await;
}

/// Waits until an engine decodes at least two streams, and returns the engine that decodes the most.
async fn busy_engine(cluster: &Cluster) -> usize {
    let mut busiest = 0;
    wait_until("an engine decodes streams", REACTION_LIMIT, async || {
        let mut most = 0;
        for (index, engine) in cluster.engines.iter().enumerate() {
            let stats = cluster.stats(engine.address).await;
            let decoding = stats["running"].as_u64().unwrap_or_default()
                - stats["waiting"].as_u64().unwrap_or_default();
            if decoding > most {
                (busiest, most) = (index, decoding);
            }
        }
        most >= 2
    })
    .await;
    busiest
}

async fn check_limits(cluster: &Cluster) {
    for engine in &cluster.engines {
        let stats = cluster.stats(engine.address).await;
        assert_eq!(stats["crashes"], 0, "`{}` crashed under load", engine.id);
        let peak = stats["peak_cold"].as_u64();
        assert!(
            peak <= Some(COLD_LIMIT),
            "`{}` got {peak:?} while cold",
            engine.id
        );
    }
}
