//! Guards against `executed: no` in the error of a request if one of its attempts reached a target that then crashed.

mod fleet;

use std::time::Duration;

use fleet::{panic_count, wait_until};
use jujubehook::load::{Caller, Fleet, Settings};
use jujubehook::wire::{self, Body, Run};
use jujubehook_http::http_types::Method;
use jujubehook_http::Client;
use jujubehook_standin::{engine, service};
use serde_json::json;
use smol::Timer;

const DEADLINE: Duration = Duration::from_secs(5);

#[test]
fn dead_targets() {
    smol::block_on(async {
        let fleet = Fleet::start(Settings {
            domains: 1,
            engine: engine::Settings {
                cold: false,
                ..engine::Settings::default()
            },
            engines: 1,
            instances: 2,
            service: service::Settings {
                work_ms: 2_000,
                ..service::Settings::default()
            },
            workspaces: 1,
            ..Settings::default()
        })
        .await
        .unwrap();
        let caller = Caller::new("key-0");
        let entry = fleet.entries()[0];
        let crash_target = async |address| {
            wait_until(async || fleet.stats(address).await.unwrap()["running"] == 1).await;
            Timer::after(Duration::from_millis(200)).await;
            let fault = json!({"die_ms": 20_000});
            fleet.set_faults(address, &fault).await.unwrap();
        };
        let engine = fleet.engines()[0].2;
        let ask = caller.complete(entry, "resin", "hello", 100, DEADLINE);
        let (answer, ()) = futures_lite::future::zip(ask, crash_target(engine)).await;
        assert!(answer.first_token.is_some(), "{answer:?}");
        assert!(answer.error.is_some() && !answer.not_run, "{answer:?}");
        let service = fleet.services()[0].2;
        let body = json!({});
        let call = caller.call(entry, "look", None, &body, DEADLINE);
        let (answer, ()) = futures_lite::future::zip(call, crash_target(service)).await;
        assert!(answer.error.is_some() && !answer.not_run, "{answer:?}");
        assert_eq!(panic_count(), 0);
    });
}

/// Guards against an instance that learns that the target was reached only with the last chunk of a prompt, instead of
/// with the first one.
#[test]
fn first_chunk() {
    smol::block_on(async {
        let fleet = Fleet::start(Settings {
            domains: 1,
            engine: engine::Settings {
                cold: false,
                prefill_rate: 20_000.0,
                ..engine::Settings::default()
            },
            engines: 1,
            instances: 1,
            workspaces: 1,
            ..Settings::default()
        })
        .await
        .unwrap();
        let (target, _, engine) = fleet.engines()[0].clone();
        let run = Run {
            adapter: None,
            attempt: 1,
            context: Vec::new(),
            deadline_ms: 10_000,
            hops: 0,
            max_tokens: 1,
            model: "resin".into(),
            prefix: Vec::new(),
            prompt: "a".repeat(200_000),
            request: 1,
            start: 0,
            target,
            weight: 1,
            workspace: "workspace-0".into(),
        };
        let entry = fleet.entries()[0];
        let mut request = Client::request(Method::Post, entry, "/peer/run").unwrap();
        request.insert_header("x-peer-key", fleet.peer_key());
        request.set_body(wire::encode(&run));
        let mut frames = Client::default().stream(entry, request).await.unwrap();
        let mut bodies = Vec::new();
        let mut chunks = 0;
        while let Some(frame) = wire::read_frame(&mut frames).await.unwrap() {
            if bodies.is_empty() {
                let stats = fleet.stats(engine).await.unwrap();
                chunks = stats["requests"].as_array().unwrap().len();
            }
            bodies.push(frame.body);
        }
        assert_eq!(chunks, 1);
        assert!(
            matches!(
                bodies[..],
                [Body::Start { .. }, Body::Token { .. }, Body::End { .. }]
            ),
            "{bodies:?}"
        );
        let stats = fleet.stats(engine).await.unwrap();
        assert!(stats["requests"].as_array().unwrap().len() > 1);
    });
}
