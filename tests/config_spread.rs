//! Guards against records that spread late, revert or differ between instances. Proves point 10.

mod cluster;

use std::time::Duration;

use cluster::{until, Cluster, Running, FEW_SECONDS};
use jujubehook::record::{entry, Kind, NEWEST_SCHEMA};
use jujubehook_standin::log;
use serde_json::json;

/// Time in which an accepted record is in force everywhere.
const SPREAD: Duration = Duration::from_secs(6);

/// Records between two snapshots, and some more.
const RECORDS: usize = 530;

/// Entries that the log keeps in the end: fewer than there are, more than follow on the snapshot.
const RETENTION: usize = 100;

/// Records spread in time while the log is slow, and no instance ever goes back.
#[test]
fn log_slow() {
    cluster::run(async {
        let running = Cluster::new().domains(2).engines(1).start().await;
        running.fault(running.log(), json!({"slow_ms": 800})).await;
        let mut seen = vec![0; running.instances.len()];
        for round in 0..3 {
            let body = json!({"limits": {"cold": 2 + round}});
            let offset = running.publish(Kind::Target, "engine-north-0", body).await;
            until("the record is in force everywhere", SPREAD, async || {
                let offsets = sample(&running, &mut seen).await;
                offsets.iter().all(|&at| at >= offset)
            })
            .await;
        }
    });
}

/// An instance that starts while the log is down gets the records from a peer and serves.
#[test]
fn late_instance() {
    cluster::run(async {
        let mut running = Cluster::new().engines(1).start().await;
        let body = json!({"limits": {"cold": 3}});
        let offset = running.publish(Kind::Target, "engine-north-0", body).await;
        wait_offset(&running, offset).await;
        running
            .fault(running.log(), json!({"down_ms": 8_000}))
            .await;
        running.wait_away(running.log()).await;
        let late = running.start_instance("north").await;
        until("the new instance is ready", SPREAD, async || {
            running.is_ready(late).await == Some(true)
        })
        .await;
        let status = running.status(late).await.unwrap_or_default();
        assert_eq!(status["offset"], offset);
        let gone = smol::net::TcpStream::connect(running.log()).await.is_err();
        assert!(gone, "the log was back before the instance was ready");
    });
}

/// Of two records with the same base the first in log order is in force at all instances.
#[test]
fn operators_race() {
    cluster::run(async {
        let running = Cluster::new().domains(2).engines(1).start().await;
        let platform = jujubehook::remote::Settings::default();
        let log = jujubehook::remote::Log::new(running.log(), platform);
        let mut last = 0;
        for service in [false, true] {
            let body = json!({"service": {"in": service}});
            let entry = entry(Kind::Domain, "north", NEWEST_SCHEMA, 0, &body);
            last = log.append("config", &entry).await.expect("an append");
        }
        wait_offset(&running, last).await;
        for index in 0..running.instances.len() {
            let inside = running.instances[index].domain == "north";
            assert_eq!(running.is_ready(index).await, Some(!inside));
        }
    });
}

/// After the log has dropped old entries, a new instance without a peer starts from a snapshot.
#[test]
fn log_retention() {
    cluster::run(async {
        let settings = log::Settings::default();
        let mut running = Cluster::new()
            .instances(1)
            .engines(1)
            .log(settings)
            .start()
            .await;
        let platform = jujubehook::remote::Settings::default();
        let log = jujubehook::remote::Log::new(running.log(), platform);
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
        wait_offset(&running, last).await;
        until("a snapshot is in the log", SPREAD, async || {
            let page = log.read("config-snapshot", 1, 1, Duration::ZERO).await;
            page.is_ok_and(|page| !page.entries.is_empty())
        })
        .await;
        running
            .fault(running.log(), json!({"retention": RETENTION}))
            .await;
        running.kill(0).await;
        let late = running.start_instance("north").await;
        until(
            "the new instance has all records",
            FEW_SECONDS * 2,
            async || {
                let status = running.status(late).await.unwrap_or_default();
                status["offset"] == last
            },
        )
        .await;
    });
}

async fn wait_offset(running: &Running, offset: u64) {
    let mut seen = vec![0; running.instances.len()];
    until("the record is in force everywhere", SPREAD, async || {
        let offsets = sample(running, &mut seen).await;
        offsets.iter().all(|&at| at >= offset)
    })
    .await;
}

/// Reads the offsets in force and fails if one is lower than before.
async fn sample(running: &Running, seen: &mut [u64]) -> Vec<u64> {
    for (index, before) in seen.iter_mut().enumerate() {
        if let Some(status) = running.status(index).await {
            let offset = status["offset"].as_u64().unwrap_or_default();
            assert!(offset >= *before, "offset {offset} after {before}");
            *before = offset;
        }
    }
    seen.to_vec()
}
