//! Streams whose reader disconnects, and attempts that are sent twice.

mod common;

use common::{
    complete, delete, engine, fast_engine, open, post, request, resume, stats, wait_until,
};
use jujubehook_standin::engine::Settings;
use jujubehook_standin::text;

fn settings(resume_ms: u64) -> Settings {
    Settings {
        decode_rate: 100.0,
        resume_ms,
        ..fast_engine()
    }
}

/// Guards against a lost connection that ends the stream, and against gaps in a resumed stream.
#[test]
fn resume_at_offset() {
    smol::block_on(async {
        let engine = engine(settings(20_000)).await;
        let address = engine.address();
        let mut stream = open(address, &request(1, "prompt", 20)).await;
        let mut received = String::new();
        for _ in 0..3 {
            received.push_str(stream.next().await.unwrap()["text"].as_str().unwrap());
        }
        drop(stream);
        let rest = resume(address, 1, 3).await.end().await;
        assert_eq!(rest.finish.unwrap()["count"], 20);
        assert_eq!(received + &rest.text, text::response("prompt", 20));
        let again = resume(address, 1, 19).await.end().await;
        assert_eq!(again.text.len(), 4, "a finished stream can be read again");
    });
}

/// Guards against memory that stays reserved after the caller has disconnected, even during prefill.
#[test]
fn abandoned() {
    smol::block_on(async {
        let engine = engine(Settings {
            prefill_rate: 0.1,
            ..settings(10)
        })
        .await;
        let address = engine.address();
        drop(open(address, &request(1, "prompt", 1_000)).await);
        let stats = wait_until(address, "cancel", |stats| stats["cancelled"] == 1).await;
        assert_eq!(stats["memory"]["reserved"], 0);
    });
}

/// Guards against two concurrent runs of one attempt, and against a cancel that keeps memory reserved.
#[test]
fn same_attempt() {
    smol::block_on(async {
        let engine = engine(settings(20_000)).await;
        let address = engine.address();
        let mut stream = open(address, &request(1, "prompt", 1_000)).await;
        assert!(stream.next().await.is_some());
        let again = post(address, "/v1/completions", request(1, "prompt", 1)).await;
        assert_eq!(again.0, 409);
        assert_eq!(delete(address, "/v1/streams/0000000000000001").await, 200);
        assert!(stream.end().await.finish.is_none());
        assert_eq!(stats(address).await["memory"]["reserved"], 0);
        assert!(complete(address, &request(1, "prompt", 1))
            .await
            .finish
            .is_some());
    });
}

/// Guards against a continuation of an earlier run whose text or token indexes do not follow on from it.
#[test]
fn continuation() {
    smol::block_on(async {
        let engine = engine(settings(20_000)).await;
        let whole = text::response("prompt--", 8);
        let (sent, rest) = whole.split_at(3 * text::TOKEN_BYTES);
        let mut body = request(1, &format!("prompt--{sent}"), 5);
        body["resume"] = 3.into();
        let mut stream = open(engine.address(), &body).await;
        assert_eq!(stream.next().await.unwrap()["index"], 3);
        let end = stream.end().await;
        assert_eq!(end.finish.unwrap()["count"], 8);
        assert_eq!(end.text, rest[text::TOKEN_BYTES..]);
    });
}
