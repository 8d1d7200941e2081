//! Prefix cache, cache events and the memory limit.

mod common;

use common::{complete, engine, fast_engine, get, open, post, request, stats};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::text;
use serde_json::json;

/// A prompt of `tokens` tokens.
fn prompt(letter: &str, tokens: usize) -> String {
    letter.repeat(tokens * text::TOKEN_BYTES)
}

/// Guards against cache hits for partial blocks, or for blocks after the first difference.
#[test]
fn common_prefix() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        let long = prompt("a", 600);
        let first = complete(address, &request(1, &long, 3)).await;
        assert_eq!((first.cached(), first.text), (0, text::response(&long, 3)));
        let second = complete(address, &request(2, &long, 3)).await;
        assert_eq!(
            (second.cached(), second.text),
            (512, text::response(&long, 3))
        );
        let other = format!("{}{}", prompt("a", 300), prompt("b", 300));
        assert_eq!(
            complete(address, &request(3, &other, 1)).await.cached(),
            256
        );
    });
}

/// Guards against a cache that exceeds the memory limit or evicts the wrong prefix.
#[test]
fn least_recently_used() {
    smol::block_on(async {
        let engine = engine(Settings {
            memory: 2_000,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        for (attempt, letter) in ["a", "b", "a", "c"].into_iter().enumerate() {
            complete(address, &request(attempt as u64, &prompt(letter, 768), 1)).await;
        }
        let stats = stats(address).await;
        assert!(stats["peak_memory"].as_u64().unwrap() <= 2_000, "{stats}");
        let a = complete(address, &request(9, &prompt("a", 768), 1))
            .await
            .cached();
        let b = complete(address, &request(10, &prompt("b", 768), 1))
            .await
            .cached();
        assert!(a > 0 && b == 0, "a {a} b {b}");
    });
}

/// Guards against requests that are accepted without memory for their complete response.
#[test]
fn memory_limit() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 1.0,
            memory: 1_000,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        let _running = open(address, &request(1, &prompt("a", 500), 100)).await;
        let refused = post(
            address,
            "/v1/completions",
            request(2, &prompt("b", 350), 51),
        )
        .await;
        assert_eq!(refused.0, 429);
        let _fits = open(address, &request(3, &prompt("b", 350), 50)).await;
        let stats = stats(address).await;
        assert_eq!(
            (&stats["memory"]["reserved"], &stats["refused"]),
            (&json!(1_000), &json!(1))
        );
    });
}

/// Guards against an `event_gap` fault that loses no event, and against block hashes that callers cannot compute.
#[test]
fn event_gaps() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        common::fault(address, json!({ "event_gap": 2 })).await;
        for (attempt, letter) in ["a", "b", "c"].into_iter().enumerate() {
            complete(address, &request(attempt as u64, &prompt(letter, 256), 1)).await;
        }
        let (_, response) = get(address, "/v1/events?after=0").await;
        let events = response["events"].as_array().unwrap();
        let sequences: Vec<_> = events
            .iter()
            .map(|event| event["sequence"].clone())
            .collect();
        assert_eq!(sequences, [1, 3]);
        let hash = text::extend_hash(text::empty_hash(), prompt("a", 256).as_bytes());
        assert_eq!(events[0]["blocks"], json!([format!("{hash:016x}")]));
    });
}
