//! Load of one run: configuration changes, completions and service calls.

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

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(20);

/// Key of the first workspace.
pub(crate) const KEY: &str = "key-0";

/// Outcomes of the callers' requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) failed: AtomicU64,
    pub(crate) ok: AtomicU64,
    pub(crate) tokens: AtomicU64,
}

/// Body of a workspace record with two keys and grants of four models, each with two adapters.
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

/// The log entry that sets the record of a workspace whose revision is `base`.
pub(crate) fn entry(index: usize, weight: u64, base: u64) -> String {
    let body = workspace(index, weight);
    let name = format!("workspace-{index}");
    record::entry(Kind::Workspace, &name, record::NEWEST_SCHEMA, base, &body)
}

/// Appends changes of the last workspace at the rate of the options until `end`. Returns its last revision and the
/// number of changes.
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
    let interval = Duration::from_secs_f64(1.0 / options.changes);
    while Instant::now() + interval < end {
        Timer::after(interval).await;
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
    let interval = Duration::from_secs_f64(1.0 / options.requests);
    let mut tasks = Vec::new();
    let mut next = Instant::now() + interval.mul_f64(fastrand::f64());
    while next < end {
        Timer::at(next).await;
        next += interval;
        tasks.push(smol::spawn(request(options.clone(), entry, tally.clone())));
    }
    for task in tasks {
        task.await;
    }
}

/// Makes service calls with idempotency keys of the caller, round robin over all instances, until `end`.
pub(crate) async fn claims(
    options: Options,
    entries: Vec<SocketAddr>,
    end: Instant,
    tally: Arc<Tally>,
) {
    if options.claims <= 0.0 {
        return;
    }
    let interval = Duration::from_secs_f64(1.0 / options.claims);
    let mut tasks = Vec::new();
    let (mut next, mut count) = (Instant::now(), 0);
    while next < end {
        Timer::at(next).await;
        next += interval;
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

/// Makes one service call.
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

/// Requests one completion.
async fn request(options: Options, entry: SocketAddr, tally: Arc<Tally>) {
    // A token is four bytes: the eight digits that make the prompt unique take the place of two tokens.
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
