//! Guards against engine memory that is never released when a gang, a prompt on several engines, loses its coordinator
//! or the owner of some of them. Checks invariants 1, 2 and 5 of the design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, Cluster, ClusterBuilder, Completion};

const DEADLINE: Duration = Duration::from_secs(25);

/// Memory of one engine in tokens.
const MEMORY: u64 = 8_000;

/// Length of a prompt that needs several engines, in tokens.
const PROMPT: usize = 18_000;

/// Lifetime of a reservation, plus two cleanup intervals of 0.3 s, plus 1 s.
const RELEASE_LIMIT: Duration = Duration::from_millis(6_600);

/// Time limit for a gang to reach a stage.
const STAGE_LIMIT: Duration = Duration::from_secs(15);

/// Stage of the gang at which a process is killed.
#[derive(Clone, Copy)]
enum Stage {
    Prefill,
    Decode,
}

/// The coordinator dies during the prefill.
#[test]
fn coordinator_early() {
    cluster::run(async { kill(Stage::Prefill, true).await });
}

/// The coordinator dies while the last engine decodes.
#[test]
fn coordinator_late() {
    cluster::run(async { kill(Stage::Decode, true).await });
}

/// The owner of engines of the gang dies during the prefill.
#[test]
fn owner_early() {
    cluster::run(async { kill(Stage::Prefill, false).await });
}

/// The owner of engines of the gang dies while the last engine decodes.
#[test]
fn owner_late() {
    cluster::run(async { kill(Stage::Decode, false).await });
}

async fn kill(stage: Stage, coordinator: bool) {
    let mut cluster = ClusterBuilder::new()
        .instances(3)
        .engines(5)
        .engine(|engine| {
            engine.cold = false;
            engine.memory = MEMORY;
            engine.prefill_rate = 10_000.0;
        })
        .queue(&format!("memory_tokens = {MEMORY}\ncold_limit = 4"))
        .start()
        .await;
    let (owner, _) = cluster.main_owner().await;
    let entry = (owner + 1) % 3;
    let completion = Completion::new(1, PROMPT, 400, DEADLINE);
    let stream = cluster.complete(entry, &completion);
    wait_until("the gang has reached the stage", STAGE_LIMIT, async || {
        has_reached(&cluster, stage).await
    })
    .await;
    cluster.kill(if coordinator { entry } else { owner }).await;
    let answer = stream.await;
    if !coordinator {
        completion.check(&answer);
    }
    cluster.wait_released(RELEASE_LIMIT).await;
    cluster.wait_settled().await;
    let completion = Completion::new(2, PROMPT, 20, DEADLINE);
    let last = if coordinator { owner } else { entry };
    completion.check_whole(&cluster.complete(last, &completion).await);
    cluster.wait_released(RELEASE_LIMIT).await;
}

async fn has_reached(cluster: &Cluster, stage: Stage) -> bool {
    let (mut handles, mut decoding) = (0, 0);
    for engine in &cluster.engines {
        let stats = cluster.stats(engine.address).await;
        handles += u64::from(stats["memory"]["handles"].as_u64() > Some(0));
        decoding += u64::from(stats["running"] == 1 && stats["waiting"] == 0);
    }
    match stage {
        Stage::Prefill => handles >= 1,
        Stage::Decode => handles >= 3 && decoding == 1,
    }
}
