//! Guards against records that take effect late, are reverted or differ between instances. Checks invariant 10 of the
//! design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, Cluster, ClusterBuilder, REACTION_LIMIT};
use jujubehook::record::{entry, Kind, NEWEST_SCHEMA};
use jujubehook_standin::log;
use serde_json::json;

/// Time within which an accepted record must be in force in all instances.
const PROPAGATION: Duration = Duration::from_secs(6);

/// Records to publish; more than the number between two snapshots.
const RECORDS: usize = 530;

/// Entries that the log retains at the end: fewer than it received, but more than it received since the last snapshot.
const RETENTION: usize = 100;

/// While the log is slow, records still take effect in time, and no instance goes back to a lower offset.
#[test]
fn log_slow() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().domains(2).engines(1).start().await;
        cluster
            .set_faults(cluster.log(), json!({"slow_ms": 800}))
            .await;
        let mut seen = vec![0; cluster.instances.len()];
        for round in 0..3 {
            let body = json!({"limits": {"cold": 2 + round}});
            let offset = cluster.publish(Kind::Target, "engine-north-0", body).await;
            wait_until(
                "the record is in force everywhere",
                PROPAGATION,
                async || {
                    let offsets = sample(&cluster, &mut seen).await;
                    offsets.iter().all(|&current| current >= offset)
                },
            )
            .await;
        }
    });
}

/// An instance that starts while the log is down gets the records from a peer and becomes ready.
#[test]
fn late_instance() {
    cluster::run(async {
        let mut cluster = ClusterBuilder::new().engines(1).start().await;
        let body = json!({"limits": {"cold": 3}});
        let offset = cluster.publish(Kind::Target, "engine-north-0", body).await;
        wait_offset(&cluster, offset).await;
        cluster
            .set_faults(cluster.log(), json!({"down_ms": 8_000}))
            .await;
        cluster.wait_down(cluster.log()).await;
        let late = cluster.start_instance("north").await;
        wait_until("the new instance is ready", PROPAGATION, async || {
            cluster.is_ready(late).await == Some(true)
        })
        .await;
        let status = cluster.status(late).await.unwrap_or_default();
        assert_eq!(status["offset"], offset);
        let down = smol::net::TcpStream::connect(cluster.log()).await.is_err();
        assert!(down, "the log was back before the instance was ready");
    });
}

/// Of two entries with the same base, all instances accept the first in log order.
#[test]
fn operators_race() {
    cluster::run(async {
        let cluster = ClusterBuilder::new().domains(2).engines(1).start().await;
        let platform = jujubehook::remote::Settings::default();
        let log = jujubehook::remote::Log::new(cluster.log(), platform);
        let mut last = 0;
        for service in [false, true] {
            let body = json!({"service": {"in": service}});
            let entry = entry(Kind::Domain, "north", NEWEST_SCHEMA, 0, &body);
            last = log.append("config", &entry).await.expect("an append");
        }
        wait_offset(&cluster, last).await;
        for index in 0..cluster.instances.len() {
            let out_of_service = cluster.instances[index].domain == "north";
            assert_eq!(cluster.is_ready(index).await, Some(!out_of_service));
        }
    });
}

/// After old entries have expired from the log, a new instance without a peer starts from a snapshot.
#[test]
fn log_retention() {
    cluster::run(async {
        let settings = log::Settings::default();
        let mut cluster = ClusterBuilder::new()
            .instances(1)
            .engines(1)
            .log(settings)
            .start()
            .await;
        let platform = jujubehook::remote::Settings::default();
        let log = jujubehook::remote::Log::new(cluster.log(), platform);
        let mut last = 0;
        for index in 0..RECORDS {
            let name = format!("retired-{index}");
            let entry = entry(
                Kind::Target,
                &name,
                NEWEST_SCHEMA,
                0,
                &json!({"leaving": true}),
            );
            last = log.append("config", &entry).await.expect("an append");
        }
        wait_offset(&cluster, last).await;
        wait_until("a snapshot is in the log", PROPAGATION, async || {
            let page = log.read("config-snapshot", 1, 1, Duration::ZERO).await;
            page.is_ok_and(|page| !page.entries.is_empty())
        })
        .await;
        cluster
            .set_faults(cluster.log(), json!({"retention": RETENTION}))
            .await;
        cluster.kill(0).await;
        let late = cluster.start_instance("north").await;
        wait_until(
            "the new instance has all records",
            REACTION_LIMIT * 2,
            async || {
                let status = cluster.status(late).await.unwrap_or_default();
                status["offset"] == last
            },
        )
        .await;
    });
}

async fn wait_offset(cluster: &Cluster, offset: u64) {
    let mut seen = vec![0; cluster.instances.len()];
    wait_until(
        "the record is in force everywhere",
        PROPAGATION,
        async || {
            let offsets = sample(cluster, &mut seen).await;
            offsets.iter().all(|&current| current >= offset)
        },
    )
    .await;
}

/// Reads the offsets in force and fails if one is lower than before.
async fn sample(cluster: &Cluster, seen: &mut [u64]) -> Vec<u64> {
    for (index, before) in seen.iter_mut().enumerate() {
        if let Some(status) = cluster.status(index).await {
            let offset = status["offset"].as_u64().unwrap_or_default();
            assert!(offset >= *before, "offset {offset} after {before}");
            *before = offset;
        }
    }
    seen.to_vec()
}
