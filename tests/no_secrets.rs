//! Guards against prompts and keys that appear in logs, metrics or status pages.

mod fleet;

use std::time::{Duration, SystemTime};

use fleet::{publish_workspace, send, start_fleet};
use jujubehook::event;
use jujubehook::load::Caller;
use jujubehook_http::http_types::Body;
use serde_json::json;

const DEADLINE: Duration = Duration::from_secs(5);
const KEY: &str = "workspace-key-9d1f";
const PROMPT: &str = "prompt-text-5c2e";

/// Body of a completion request with one field replaced.
fn body_with(field: &str, value: &str) -> String {
    let mut body = json!({"model": "resin", "prompt": PROMPT, "max_tokens": 3});
    body[field] = json!(value);
    body.to_string()
}

#[test]
fn no_secrets() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("events.log");
    event::start(&event::Settings {
        file: Some(path.clone()),
        level: event::Level::Debug,
    })
    .unwrap();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let own = format!("{}-idempotency-key-77ab", now.unwrap().as_secs());
    let mut pages = String::new();
    let mut secrets = vec![PROMPT.to_owned(), KEY.to_owned(), own.clone()];
    smol::block_on(async {
        let fleet = start_fleet(2).await;
        publish_workspace(&fleet, KEY, json!({"grants": [{"model": "resin"}]})).await;
        let caller = Caller::new(KEY);
        let bearer = format!("Bearer {KEY}");
        let wrong = format!("Bearer {PROMPT}");
        secrets.push(fleet.peer_key().to_owned());
        for entry in fleet.entries() {
            let issued = caller.request_key(entry).await.unwrap();
            for key in [None, Some(own.as_str()), Some(issued.as_str())] {
                let body = json!({"seat": PROMPT});
                let answer = caller.call(entry, "look", key, &body, DEADLINE).await;
                assert!(answer.is_ok(), "{answer:?}");
            }
            secrets.push(issued);
            let answer = caller.complete(entry, "resin", PROMPT, 3, DEADLINE).await;
            assert!(answer.is_ok(), "{answer:?}");
            let long = PROMPT.repeat(10_000);
            let answer = caller.complete(entry, "resin", &long, 3, DEADLINE).await;
            assert!(answer.is_ok(), "{answer:?}");
            // The log line of a refused request has a reason, which must not quote the request.
            for (header, value, body) in [
                ("authorization", wrong.as_str(), body_with("prompt", PROMPT)),
                ("x-deadline-ms", PROMPT, body_with("prompt", PROMPT)),
                ("idempotency-key", PROMPT, body_with("prompt", PROMPT)),
                ("x-none", "", format!("{{\"model\":\"{PROMPT}")),
                ("x-none", "", format!("\"{PROMPT}\"")),
                ("x-none", "", body_with("max_tokens", PROMPT)),
                ("x-none", "", body_with("stream", PROMPT)),
                ("x-peer-key", PROMPT, body_with("messages", PROMPT)),
            ] {
                for path in [
                    "/v1/completions",
                    "/v1/chat/completions",
                    "/v1/services/seats/sell",
                    "/peer/run",
                ] {
                    let mut headers = vec![("authorization", bearer.as_str())];
                    headers.retain(|(name, _)| *name != header);
                    headers.push((header, value));
                    send(entry, "POST", path, &headers, Body::from(body.clone())).await;
                }
            }
            let peer = [("x-peer-key", fleet.peer_key())];
            for (path, headers) in [("/metrics", &[][..]), ("/peer/status", &peer)] {
                let reply = send(entry, "GET", path, headers, "").await;
                assert_eq!(reply.status, 200);
                pages.push_str(&String::from_utf8(reply.body).unwrap());
            }
        }
    });
    let log = std::fs::read_to_string(path).unwrap();
    for event in [
        "admitted",
        "refused",
        "dispatch_call",
        "call_ended",
        "forward",
    ] {
        assert!(
            log.contains(&format!("event={event} ")),
            "no `{event}` line"
        );
    }
    for line in log.lines().chain(pages.lines()) {
        let found = secrets.iter().find(|secret| line.contains(*secret));
        assert_eq!(found, None, "{line}");
    }
}
