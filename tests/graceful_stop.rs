//! Guards against requests that a graceful shutdown cuts off. Checks invariants 1 and 9 of the design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, ClusterBuilder, Completion, Load, REACTION_LIMIT};

const DEADLINE: Duration = Duration::from_secs(30);

/// Time limit for a shutdown: the longest stream, the handover of targets and some slack.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Each instance in turn is stopped with SIGTERM under load, with long streams through it and on its targets, and is
/// replaced. It reports at `/readyz` that it is not ready before it ends, completes all requests and exits with code 0.
#[test]
fn cuts_nothing() {
    cluster::run(async {
        let mut cluster = ClusterBuilder::new().instances(3).engines(3).start().await;
        for instance in 0..3 {
            let mut streams = Vec::new();
            for number in 0..6 {
                // Every third prompt is prefilled in several chunks.
                let tokens = if number % 3 == 0 { 60_000 } else { 1_000 };
                let completion = Completion::new(100 * instance + number, tokens, 500, DEADLINE);
                streams.push((
                    cluster.complete(instance + number % 3, &completion),
                    completion,
                ));
            }
            let stay: Vec<usize> = (instance + 1..instance + 3).collect();
            let load = Load::start(&cluster, &stay);
            wait_until(
                "streams run through the instance",
                REACTION_LIMIT,
                async || {
                    let status = cluster.status(instance).await.unwrap_or_default();
                    status["requests"].as_u64() >= Some(2)
                },
            )
            .await;
            cluster.terminate(instance);
            wait_until("the instance is not ready", REACTION_LIMIT, async || {
                cluster.is_ready(instance).await == Some(false)
            })
            .await;
            assert!(
                cluster.instances[instance].exit().is_none(),
                "the process has ended too early"
            );
            for (stream, completion) in streams {
                completion.check_whole(&stream.await);
            }
            wait_until("the instance has stopped", STOP_LIMIT, async || {
                cluster.instances[instance].exit().is_some()
            })
            .await;
            let status = cluster.instances[instance].exit();
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
            load.finish().await;
            cluster.unlist(instance).await;
            cluster.start_instance("north").await;
            cluster.wait_settled().await;
        }
    });
}
