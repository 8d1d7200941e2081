//! Guards against callers whose leaving cannot be seen in the log and metrics. Runs the whole core without a socket.

mod entry_core;
mod entry_fixtures;
mod entry_script;

use std::rc::Rc;

use entry_fixtures::{ms, profile};
use entry_script::{Engines, Fleet, Step, RUN_TIME};
use futures_lite::future::or;
use jujubehook::entry::{Prompt, Request, Settings};
use smol::Timer;

/// A caller leaves before the first event of its stream: the request must be counted as left by its caller.
#[test]
fn before_first_event() {
    let engines = Rc::new(Engines::new([Step::Wait(RUN_TIME)]));
    let ids = ["i-1".to_owned()];
    let targets = Rc::new(Fleet(engines));
    let (instance, executor) = entry_core::start_with(Settings::default(), profile(), ids, targets);
    let request = Request {
        host: "h".into(),
        id: "id-1".into(),
        path: "/".into(),
        prompt: Some(Prompt {
            max_tokens: 600,
            tokens: 2_000,
        }),
        ..Request::default()
    };
    let served = async {
        instance.serve(request).await;
    };
    let left = async {
        Timer::after(ms(200)).await;
    };
    smol::block_on(executor.run(or(served, left)));
    let line = "jujubehook_entry_requests_total{kind=\"stream\",outcome=\"caller_left\"} 1";
    let text = instance.metrics.text();
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains(line), "{text}");
}
