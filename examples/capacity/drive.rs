use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use jujubehook::load::Caller;
use jujubehook::record::{self, Kind};
use jujubehook::remote::Log;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use smol::Timer;

use super::options::Options;

/// Deadline of the callers' requests.
const DEADLINE: Duration = Duration::from_secs(20);

/// Caller's key of the first workspace.
pub(crate) const KEY: &str = "key-0";

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) failed: AtomicU64,
    pub(crate) ok: AtomicU64,
    pub(crate) tokens: AtomicU64,
}

/// The record of a workspace: two keys, four models with two adapters and two versions each.
pub(crate) fn workspace(index: usize, weight: u64) -> Value {
    let grants: Vec<Value> = (0..4)
        .map(|model| {
            json!({
                "model": format!("model-{model}"), "adapters": ["house-style", "short-answers"],
                "versions": [],
            })
        })
        .collect();
    let digest = |key: String| -> String {
        let digest = Sha256::digest(key.as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    json!({
        "grants": grants, "limits": {"weight": weight},
        "keys": [digest(format!("key-{index}")), digest(format!("spare-{index}"))],
    })
}

/// The entry that puts a workspace into force over revision `base`.
pub(crate) fn entry(index: usize, weight: u64, base: u64) -> String {
    let body = workspace(index, weight);
    let name = format!("workspace-{index}");
    record::entry(Kind::Workspace, &name, record::NEWEST_SCHEMA, base, &body)
}

/// Appends changes of the last workspace at the rate of the options until `end`; returns the last revision.
pub(crate) async fn changes(
    options: &Options,
    log: &Log,
    mut base: u64,
    end: Instant,
) -> (u64, u64) {
    let mut count = 0;
    if options.changes <= 0.0 {
        return (base, count);
    }
    let pause = Duration::from_secs_f64(1.0 / options.changes);
    while Instant::now() + pause < end {
        Timer::after(pause).await;
        let entry = entry(options.workspaces - 1, 2 + count % 7, base);
        if let Ok(offset) = log.append("config", &entry).await {
            base = offset;
            count += 1;
        }
    }
    (base, count)
}

/// Sends completions to one instance at the rate of the options until `end`.
pub(crate) async fn requests(options: Options, entry: SocketAddr, end: Instant, tally: Arc<Tally>) {
    if options.requests <= 0.0 {
        return;
    }
    let pause = Duration::from_secs_f64(1.0 / options.requests);
    let mut tasks = Vec::new();
    let mut next = Instant::now() + pause.mul_f64(fastrand::f64());
    while next < end {
        Timer::at(next).await;
        next += pause;
        tasks.push(smol::spawn(request(options.clone(), entry, tally.clone())));
    }
    for task in tasks {
        task.await;
    }
}

/// Calls a service with callers' keys over all instances until `end`.
pub(crate) async fn claims(
    options: Options,
    entries: Vec<SocketAddr>,
    end: Instant,
    tally: Arc<Tally>,
) {
    if options.claims <= 0.0 {
        return;
    }
    let pause = Duration::from_secs_f64(1.0 / options.claims);
    let mut tasks = Vec::new();
    let (mut next, mut count) = (Instant::now(), 0);
    while next < end {
        Timer::at(next).await;
        next += pause;
        count += 1;
        tasks.push(smol::spawn(claim(
            entries[count % entries.len()],
            count,
            tally.clone(),
        )));
    }
    for task in tasks {
        task.await;
    }
}

async fn claim(entry: SocketAddr, count: usize, tally: Arc<Tally>) {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let key = format!("{}-sale-{count}", now.unwrap_or_default().as_secs());
    let body = json!({"seat": count});
    let caller = Caller::new(KEY);
    let answer = caller
        .call(entry, "sell", Some(&key), &body, DEADLINE)
        .await;
    count_answer(&tally, answer.is_ok(), 0);
}

async fn request(options: Options, entry: SocketAddr, tally: Arc<Tally>) {
    // Two characters less than four per token leave room for the number that keeps prompts distinct.
    let prompt = format!(
        "{:08x}{}",
        fastrand::u32(..),
        "lot ".repeat(options.prompt.saturating_sub(2))
    );
    let caller = Caller::new(KEY);
    let answer = caller
        .complete(entry, "model-0", &prompt, options.tokens, DEADLINE)
        .await;
    count_answer(&tally, answer.is_ok(), answer.count.unwrap_or_default());
}

fn count_answer(tally: &Tally, ok: bool, tokens: u64) {
    let counter = if ok { &tally.ok } else { &tally.failed };
    counter.fetch_add(1, Ordering::Relaxed);
    tally.tokens.fetch_add(tokens, Ordering::Relaxed);
}
