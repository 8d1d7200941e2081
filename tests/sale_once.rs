//! Guards against sales that run twice or get lost when processes or the log fail meanwhile. Checks invariants 6 and 7
//! of the design.

mod cluster;

use std::time::Duration;

use cluster::{unique_key, wait_until, Cluster, ClusterBuilder, Sale, REACTION_LIMIT};
use serde_json::json;

/// Duration of a sale at the service in milliseconds, long enough for a fault to happen meanwhile.
const WORK_MS: u64 = 600;

/// Number of sales that run at a time.
const SALES: usize = 12;

/// Deadline that passes before the log is up again.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);

/// Fault of an instance while sales run through it.
#[derive(Clone, Copy)]
enum Fault {
    Kill,
    Pause,
}

fn builder() -> ClusterBuilder {
    ClusterBuilder::new()
        .instances(3)
        .engines(1)
        .queue("cold_limit = 16")
        .service(|service| service.work_ms = WORK_MS)
}

/// The owner of the service's target dies with the sales in flight. It also decides some claims and serves callers.
#[test]
fn owner_dies() {
    cluster::run(async {
        let cluster = builder().start().await;
        let owner = service_owner(&cluster).await;
        run_with_fault(cluster, owner, Fault::Kill, "owner-dies").await;
    });
}

/// An instance that decides claims dies, while another one owns the service's target.
#[test]
fn claimer_dies() {
    cluster::run(async {
        let cluster = builder().start().await;
        let claimer = (service_owner(&cluster).await + 1) % 3;
        run_with_fault(cluster, claimer, Fault::Kill, "claimer-dies").await;
    });
}

/// The owner of the service's target is paused for longer than its lease, then resumed.
#[test]
fn owner_pauses() {
    cluster::run(async {
        let cluster = builder().start().await;
        let owner = service_owner(&cluster).await;
        run_with_fault(cluster, owner, Fault::Pause, "owner-pauses").await;
    });
}

/// An instance that decides claims is paused for longer than its lease, then resumed.
#[test]
fn claimer_pauses() {
    cluster::run(async {
        let cluster = builder().start().await;
        let claimer = (service_owner(&cluster).await + 1) % 3;
        run_with_fault(cluster, claimer, Fault::Pause, "claimer-pauses").await;
    });
}

/// The process that issued keys dies while sales with them run. The keys cannot be used any more: retries get "outcome
/// unknown" and must not run.
#[test]
fn issuer_dies() {
    cluster::run(async {
        let mut cluster = builder().start().await;
        let owner = service_owner(&cluster).await;
        let (issuer, other) = ((owner + 1) % 3, (owner + 2) % 3);
        let mut sales = Vec::new();
        for index in 0..SALES {
            let entry = cluster.instances[issuer].address;
            let key = cluster.caller.request_key(entry).await.expect("a key");
            let mut sale = Sale::new(key);
            sale.attempt(&cluster, [other, owner][index % 2]);
            sales.push(sale);
        }
        wait_running(&cluster).await;
        cluster.kill(issuer).await;
        for sale in &mut sales {
            sale.finish().await;
            sale.check(&cluster).await;
        }
        cluster.unlist(issuer).await;
        for sale in &mut sales {
            sale.attempt(&cluster, other);
        }
        Sale::settle(&mut sales, &cluster, other).await;
        for sale in &sales {
            let kind = sale.last().and_then(|answer| answer.error.clone());
            assert_eq!(kind.as_deref(), Some("outcome_unknown"));
            sale.check(&cluster).await;
        }
    });
}

/// Responses to appends are lost after the appends took effect. The claims are found by reading the log.
#[test]
fn reply_lost() {
    cluster::run(async {
        let cluster = builder().start().await;
        cluster
            .set_faults(cluster.log(), json!({"drop_reply": 3}))
            .await;
        let mut sales = start(&cluster, &[0, 1, 2], "reply-lost");
        Sale::settle(&mut sales, &cluster, 0).await;
        for sale in &sales {
            sale.check(&cluster).await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
        }
    });
}

/// While the log is down, sales with issued keys succeed, and sales with callers' keys are refused as not run. The
/// latter succeed when the log is up again.
#[test]
fn log_down() {
    cluster::run(async {
        let cluster = builder().start().await;
        cluster
            .set_faults(cluster.log(), json!({"down_ms": 3_000}))
            .await;
        cluster.wait_down(cluster.log()).await;
        let mut issued = Vec::new();
        for index in 0..SALES {
            let entry = cluster.instances[index % 3].address;
            let mut sale = Sale::new(cluster.caller.request_key(entry).await.expect("a key"));
            sale.attempt(&cluster, (index + 1) % 3);
            issued.push(sale);
        }
        let mut refused = Vec::new();
        for index in 0..SALES {
            let mut sale = Sale::new(unique_key(&format!("log-down-{index}")));
            sale.deadline = SHORT_DEADLINE;
            sale.attempt(&cluster, index % 3);
            sale.deadline = Sale::DEADLINE;
            refused.push(sale);
        }
        for sale in &mut issued {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
            sale.check(&cluster).await;
        }
        for sale in &mut refused {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.not_run),
                "sold without a claim"
            );
            sale.check(&cluster).await;
        }
        cluster.wait_up(cluster.log()).await;
        Sale::settle(&mut refused, &cluster, 0).await;
        for sale in &refused {
            sale.check(&cluster).await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
        }
    });
}

/// Puts a fault on an instance while sales run, and retries every sale through other instances.
async fn run_with_fault(mut cluster: Cluster, victim: usize, fault: Fault, name: &str) {
    let others: Vec<usize> = (0..3).filter(|&index| index != victim).collect();
    let mut sales = start(&cluster, &[others[0], others[1], victim], name);
    wait_running(&cluster).await;
    match fault {
        Fault::Kill => cluster.kill(victim).await,
        Fault::Pause => cluster.pause(victim),
    }
    for sale in &mut sales {
        sale.attempt(&cluster, others[0]);
    }
    wait_until(
        "the other instances own the service",
        REACTION_LIMIT,
        async || {
            let owners = cluster.owners(&cluster.services[0].id).await;
            owners.iter().any(|owner| others.contains(owner))
        },
    )
    .await;
    for sale in &mut sales {
        sale.attempt(&cluster, others[1]);
    }
    match fault {
        Fault::Kill => {}
        Fault::Pause => cluster.resume(victim),
    }
    Sale::settle(&mut sales, &cluster, others[0]).await;
    for sale in &sales {
        sale.check(&cluster).await;
    }
    let mut later = start(&cluster, &others, &format!("after-{name}"));
    for sale in &mut later {
        sale.finish().await;
        let last = sale.last();
        let sold = last.is_some_and(|answer| answer.is_ok());
        assert!(sold, "no sale after the fault: {last:?}");
        sale.check(&cluster).await;
    }
}

/// Starts sales with callers' keys through the given instances in turn.
fn start(cluster: &Cluster, instances: &[usize], name: &str) -> Vec<Sale> {
    let mut sales = Vec::new();
    for index in 0..SALES {
        let mut sale = Sale::new(unique_key(&format!("{name}-{index}")));
        sale.attempt(cluster, instances[index % instances.len()]);
        sales.push(sale);
    }
    sales
}

/// Waits until all sales are in progress at the service.
async fn wait_running(cluster: &Cluster) {
    wait_until("all sales are in progress", REACTION_LIMIT, async || {
        let stats = cluster.stats(cluster.services[0].address).await;
        stats["running"].as_u64() == Some(SALES as u64)
    })
    .await;
}

async fn service_owner(cluster: &Cluster) -> usize {
    let owners = cluster.owners(&cluster.services[0].id).await;
    *owners.first().expect("the service has an owner")
}
