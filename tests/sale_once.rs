//! Guards against sales that run twice or get lost when processes or the log fail meanwhile. Checks invariants 6 and 7
//! of the design.

mod cluster;

use std::time::Duration;

use cluster::{unique_key, wait_until, Cluster, Running, Sale, REACTION_LIMIT};
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

fn cluster() -> Cluster {
    Cluster::new()
        .instances(3)
        .engines(1)
        .queue("cold_limit = 16")
        .service(|service| service.work_ms = WORK_MS)
}

/// The owner of the service's target dies. It also decides some claims and serves callers.
#[test]
fn owner_dies() {
    cluster::run(async {
        let running = cluster().start().await;
        let owner = service_owner(&running).await;
        run_with_fault(running, owner, Fault::Kill, "owner-dies").await;
    });
}

/// An instance that decides claims dies, while another one owns the service's target.
#[test]
fn claimer_dies() {
    cluster::run(async {
        let running = cluster().start().await;
        let claimer = (service_owner(&running).await + 1) % 3;
        run_with_fault(running, claimer, Fault::Kill, "claimer-dies").await;
    });
}

/// The owner of the service's target is paused for longer than its lease, then resumed.
#[test]
fn owner_pauses() {
    cluster::run(async {
        let running = cluster().start().await;
        let owner = service_owner(&running).await;
        run_with_fault(running, owner, Fault::Pause, "owner-pauses").await;
    });
}

/// An instance that decides claims is paused for longer than its lease, then resumed.
#[test]
fn claimer_pauses() {
    cluster::run(async {
        let running = cluster().start().await;
        let claimer = (service_owner(&running).await + 1) % 3;
        run_with_fault(running, claimer, Fault::Pause, "claimer-pauses").await;
    });
}

/// The process that issued keys dies while sales with them run. The keys cannot be used any more: retries get "outcome
/// unknown" and must not run.
#[test]
fn issuer_dies() {
    cluster::run(async {
        let mut running = cluster().start().await;
        let owner = service_owner(&running).await;
        let (issuer, other) = ((owner + 1) % 3, (owner + 2) % 3);
        let mut sales = Vec::new();
        for index in 0..SALES {
            let entry = running.instances[issuer].address;
            let key = running.caller.request_key(entry).await.expect("a key");
            let mut sale = Sale::new(key);
            sale.attempt(&running, [other, owner][index % 2]);
            sales.push(sale);
        }
        wait_running(&running).await;
        running.kill(issuer).await;
        for sale in &mut sales {
            sale.finish().await;
            sale.check(&running).await;
        }
        running.unlist(issuer).await;
        for sale in &mut sales {
            sale.attempt(&running, other);
        }
        Sale::settle(&mut sales, &running, other).await;
        for sale in &sales {
            let kind = sale.last().and_then(|answer| answer.error.clone());
            assert_eq!(kind.as_deref(), Some("outcome_unknown"));
            sale.check(&running).await;
        }
    });
}

/// Responses to appends are lost after the appends took effect. The claims are found by reading the log.
#[test]
fn reply_lost() {
    cluster::run(async {
        let running = cluster().start().await;
        running.fault(running.log(), json!({"drop_reply": 3})).await;
        let mut sales = start(&running, &[0, 1, 2], "reply-lost");
        Sale::settle(&mut sales, &running, 0).await;
        for sale in &sales {
            sale.check(&running).await;
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
        let running = cluster().start().await;
        running
            .fault(running.log(), json!({"down_ms": 3_000}))
            .await;
        running.wait_away(running.log()).await;
        let mut issued = Vec::new();
        for index in 0..SALES {
            let entry = running.instances[index % 3].address;
            let mut sale = Sale::new(running.caller.request_key(entry).await.expect("a key"));
            sale.attempt(&running, (index + 1) % 3);
            issued.push(sale);
        }
        let mut refused = Vec::new();
        for index in 0..SALES {
            let mut sale = Sale::new(unique_key(&format!("log-down-{index}")));
            sale.deadline = SHORT_DEADLINE;
            sale.attempt(&running, index % 3);
            sale.deadline = Sale::DEADLINE;
            refused.push(sale);
        }
        for sale in &mut issued {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
            sale.check(&running).await;
        }
        for sale in &mut refused {
            sale.finish().await;
            assert!(
                sale.last().is_some_and(|answer| answer.not_run),
                "sold without a claim"
            );
            sale.check(&running).await;
        }
        running.wait_back(running.log()).await;
        Sale::settle(&mut refused, &running, 0).await;
        for sale in &refused {
            sale.check(&running).await;
            assert!(
                sale.last().is_some_and(|answer| answer.is_ok()),
                "a sale failed"
            );
        }
    });
}

/// Puts a fault on an instance while sales run, and retries every sale through other instances.
async fn run_with_fault(mut running: Running, victim: usize, fault: Fault, name: &str) {
    let others: Vec<usize> = (0..3).filter(|&index| index != victim).collect();
    let mut sales = start(&running, &[others[0], others[1], victim], name);
    wait_running(&running).await;
    match fault {
        Fault::Kill => running.kill(victim).await,
        Fault::Pause => running.pause(victim),
    }
    for sale in &mut sales {
        sale.attempt(&running, others[0]);
    }
    wait_until(
        "the other instances own the service",
        REACTION_LIMIT,
        async || {
            let owners = running.owners(&running.services[0].id).await;
            owners.iter().any(|owner| others.contains(owner))
        },
    )
    .await;
    for sale in &mut sales {
        sale.attempt(&running, others[1]);
    }
    match fault {
        Fault::Kill => {}
        Fault::Pause => running.resume(victim),
    }
    Sale::settle(&mut sales, &running, others[0]).await;
    for sale in &sales {
        sale.check(&running).await;
    }
    let mut later = start(&running, &others, &format!("after-{name}"));
    for sale in &mut later {
        sale.finish().await;
        let last = sale.last();
        let sold = last.is_some_and(|answer| answer.is_ok());
        assert!(sold, "no sale after the fault: {last:?}");
        sale.check(&running).await;
    }
}

/// Starts sales with callers' keys through the given instances in turn.
fn start(running: &Running, instances: &[usize], name: &str) -> Vec<Sale> {
    let mut sales = Vec::new();
    for index in 0..SALES {
        let mut sale = Sale::new(unique_key(&format!("{name}-{index}")));
        sale.attempt(running, instances[index % instances.len()]);
        sales.push(sale);
    }
    sales
}

/// Waits until all sales are in progress at the service.
async fn wait_running(running: &Running) {
    wait_until("all sales are in progress", REACTION_LIMIT, async || {
        let stats = running.stats(running.services[0].address).await;
        stats["running"].as_u64() == Some(SALES as u64)
    })
    .await;
}

async fn service_owner(running: &Running) -> usize {
    let owners = running.owners(&running.services[0].id).await;
    *owners.first().expect("the service has an owner")
}
