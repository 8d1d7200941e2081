//! KV handles: chunked prefill, export, import and release.

mod common;

use common::{complete, delete, engine, fast_engine, get, open, post, request, stats};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::text;
use serde_json::{json, Value};

const A: &str = "000000000000000a";
const B: &str = "000000000000000b";

/// A completions request that follows `context` and keeps its KV under `handle`.
fn chunk(
    attempt: u64,
    prompt: &str,
    max_tokens: u64,
    context: &[&str],
    handle: Option<&str>,
) -> Value {
    let mut body = request(attempt, prompt, max_tokens);
    body["context"] = json!(context);
    body["handle"] = json!(handle);
    body
}

/// Guards against a chunked prefill whose response differs from that to the whole prompt.
#[test]
fn chunks() {
    smol::block_on(async {
        let engine = engine(fast_engine()).await;
        let address = engine.address();
        complete(address, &chunk(1, "part one", 0, &[], Some(A))).await;
        complete(address, &chunk(1, "part two", 0, &[A], Some(A))).await;
        let (_, list) = get(address, "/v1/streams").await;
        assert_eq!(
            list["handles"],
            json!([{ "handle": A, "remote": false, "tokens": 4 }])
        );
        let end = complete(address, &chunk(1, " end", 5, &[A], None)).await;
        assert_eq!(end.text, text::response("part onepart two end", 5));
        assert_eq!(stats(address).await["memory"]["handles"], 4);
        assert_eq!(delete(address, &format!("/v1/kv/{A}")).await, 200);
        assert_eq!(stats(address).await["memory"]["handles"], 0);
    });
}

/// Guards against imported KV that uses memory or loses the hash state, and against a context whose handles are in the
/// wrong order.
#[test]
fn export_and_import() {
    smol::block_on(async {
        let (first, second) = (engine(fast_engine()).await, engine(fast_engine()).await);
        complete(first.address(), &chunk(1, "part one", 0, &[], Some(A))).await;
        let (_, ticket) = post(first.address(), &format!("/v1/kv/{A}/export"), json!({})).await;
        assert_eq!(post(second.address(), "/v1/kv/import", ticket).await.0, 200);
        complete(second.address(), &chunk(2, "part two", 0, &[A], Some(B))).await;
        assert_eq!(stats(second.address()).await["memory"]["handles"], 2);
        let end = complete(second.address(), &chunk(3, "", 5, &[A, B], None)).await;
        assert_eq!(end.text, text::response("part onepart two", 5));
        let swapped = chunk(4, "", 5, &[B, A], None);
        assert_eq!(
            post(second.address(), "/v1/completions", swapped).await.0,
            400
        );
    });
}

/// Guards against streams that continue after their KV was released.
#[test]
fn release_cuts() {
    smol::block_on(async {
        let engine = engine(Settings {
            decode_rate: 10.0,
            ..fast_engine()
        })
        .await;
        let address = engine.address();
        complete(address, &chunk(1, "part one", 0, &[], Some(A))).await;
        let mut stream = open(address, &chunk(2, "end", 100, &[A], None)).await;
        assert!(stream.next().await.is_some());
        assert_eq!(delete(address, &format!("/v1/kv/{A}")).await, 200);
        assert!(stream.end().await.finish.is_none());
        let missing = chunk(3, "end", 1, &[A], None);
        assert_eq!(post(address, "/v1/completions", missing).await.0, 404);
    });
}
