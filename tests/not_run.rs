//! Guards against `executed: no` for a request of which an earlier attempt reached a target that then died.

mod guard;

use std::time::Duration;

use guard::{panics, until};
use jujubehook::load::{Caller, Fleet, Settings};
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
        let kill = async |address| {
            until(async || fleet.stats(address).await.unwrap()["running"] == 1).await;
            Timer::after(Duration::from_millis(200)).await;
            let die = json!({"die_ms": 20_000});
            fleet.fault(address, &die).await.unwrap();
        };
        let engine = fleet.engines()[0].2;
        let ask = caller.complete(entry, "resin", "hello", 100, DEADLINE);
        let (answer, ()) = futures_lite::future::zip(ask, kill(engine)).await;
        assert!(answer.first_token.is_some(), "{answer:?}");
        assert!(answer.error.is_some() && !answer.not_run, "{answer:?}");
        let service = fleet.services()[0].2;
        let body = json!({});
        let call = caller.call(entry, "look", None, &body, DEADLINE);
        let (answer, ()) = futures_lite::future::zip(call, kill(service)).await;
        assert!(answer.error.is_some() && !answer.not_run, "{answer:?}");
        assert_eq!(panics(), 0);
    });
}
