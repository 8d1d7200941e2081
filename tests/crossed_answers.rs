//! Guards against answers with text of other requests when engines send events late or in the wrong stream. Checks
//! invariant 5 of the design.

mod cluster;

use std::time::Duration;

use cluster::{wait_until, ClusterBuilder, Completion, REACTION_LIMIT};
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(30);

/// Number of short streams during a long one.
const ROUNDS: usize = 25;

/// An engine is slow and sends the first token of one attempt at the start of the stream of another one. Each caller
/// gets only its own text.
#[test]
fn own_text_only() {
    cluster::run(async {
        let warm = |engine: &mut jujubehook_standin::engine::Settings| engine.cold = false;
        let cluster = ClusterBuilder::new().engines(1).engine(warm).start().await;
        let engine = cluster.engines[0].address;
        cluster.set_faults(engine, json!({"slow_ms": 5})).await;
        let completion = Completion::new(0, 500, 1_000, DEADLINE);
        let long = cluster.complete(0, &completion);
        wait_until("the long stream runs", REACTION_LIMIT, async || {
            cluster.stats(engine).await["running"] == 1
        })
        .await;
        for round in 1..=ROUNDS {
            cluster.set_faults(engine, json!({"cross": true})).await;
            let completion = Completion::new(round, 500, 20, DEADLINE);
            completion.check_whole(&cluster.complete(round % 2, &completion).await);
        }
        assert_eq!(
            cluster.stats(engine).await["running"],
            1,
            "the long stream has ended"
        );
        completion.check_whole(&long.await);
    });
}
