//! Guards against a fault in one request that ends the process, and with it the requests of all other callers.

mod entry_core;
mod entry_fixtures;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jujubehook::entry::platform::{
    Call, Failure, LocalBoxFuture, Ordered, Presence, Reply, Targets,
};
use jujubehook::entry::{Answer, Prompt, Request, Target};

/// Targets whose client fails for the request with this id, and reaches nothing for others.
struct Faulty;

const FAULTY: &str = "faulty";

impl Targets for Faulty {
    fn discard(&self, _: SocketAddr) {}

    fn presence<'a>(&'a self, _: &'a Target) -> LocalBoxFuture<'a, Presence> {
        Box::pin(async { Presence::Running })
    }

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn release<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Ordered> {
        Box::pin(async { Ordered::default() })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        _: &'a str,
        _: u32,
        _: Duration,
    ) -> LocalBoxFuture<'a, Ordered> {
        Box::pin(async { Ordered::default() })
    }

    fn uses_memory<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Option<bool>> {
        Box::pin(async { Some(true) })
    }

    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        assert_ne!(call.request.id, FAULTY);
        Box::pin(async { Err(Failure::Unreachable) })
    }
}

fn request(id: &str) -> Request {
    Request {
        host: "h".into(),
        id: id.into(),
        prompt: Some(Prompt {
            max_tokens: 100,
            tokens: 5_000,
        }),
        ..Request::default()
    }
}

/// A panic while one request is sent ends that request, is counted, and takes its work out of the view.
#[test]
fn panic_ends_request() {
    let (instance, executor) = entry_core::start(["i-0".into()], Rc::new(Faulty));
    smol::block_on(executor.run(async {
        let faulty = instance.clone();
        let task = async move {
            faulty.serve(request(FAULTY)).await;
        };
        instance.guard("connection", task).await;
        let answer = instance.serve(request("sound")).await;
        assert!(matches!(answer, Answer::Refusal { .. }));
    }));
    let page = String::from_utf8(instance.metrics.text()).unwrap();
    let line = r#"jujubehook_entry_panics_total{task="connection"} 1"#;
    assert!(page.contains(line), "{page}");
}
