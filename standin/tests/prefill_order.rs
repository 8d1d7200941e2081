//! Order of prefills: head-of-line blocking and priorities. Measurements of head-of-line blocking depend on it.

mod common;

use std::time::Instant;

use common::{complete, engine, fast_engine, open, request, wait_until};
use jujubehook_standin::engine::Settings;

/// Prefill time of the long prompt in milliseconds: 5,000 tokens at 10,000 tokens/s.
const LONG_MS: u128 = 500;

fn settings() -> Settings {
    Settings {
        prefill_rate: 10_000.0,
        ..fast_engine()
    }
}

/// Guards against a prefill that does not block those behind it.
#[test]
fn long_blocks_short() {
    smol::block_on(async {
        let engine = engine(settings()).await;
        let address = engine.address();
        let start = Instant::now();
        let _long = open(address, &request(1, &"a".repeat(20_000), 1)).await;
        complete(address, &request(2, "short", 1)).await;
        assert!(start.elapsed().as_millis() >= LONG_MS);
    });
}

/// Guards against priorities that are ignored or reversed.
#[test]
fn priority_first() {
    smol::block_on(async {
        let engine = engine(settings()).await;
        let address = engine.address();
        let _running = open(address, &request(1, &"a".repeat(4_000), 1)).await;
        let _long = open(address, &request(2, &"b".repeat(200_000), 1)).await;
        let mut urgent = request(3, "short", 1);
        urgent["priority"] = (-1).into();
        complete(address, &urgent).await;
        let stats = wait_until(address, "completion", |stats| stats["completed"] == 2).await;
        assert_eq!(stats["waiting"], 1, "the long prompt is not done");
    });
}
