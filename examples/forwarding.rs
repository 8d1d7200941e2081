//! Measures how much forwarding through another instance adds to the time to first token.
//!
//! Of three instances in one domain, one owns the only engine and the other two forward requests to it. Each round
//! sends a prompt to each instance in turn, one at a time.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use jujubehook::load::{Caller, Fleet, Settings};
use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse};
use jujubehook_standin::engine;

/// Deadline of a prompt.
const DEADLINE: Duration = Duration::from_secs(10);
const MODEL: &str = "resin";
/// Length of a prompt in bytes.
const PROMPT_BYTES: usize = 4_000;
/// Rounds that are measured.
const ROUNDS: usize = 500;

/// Rounds before them that are not measured.
const WARM_UP_ROUNDS: usize = 20;

fn main() {
    smol::block_on(measure());
}

async fn measure() {
    let settings = Settings {
        domains: 1,
        engine: engine::Settings {
            cold: false,
            ..engine::Settings::default()
        },
        engines: 1,
        instances: 3,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await.expect("the fleet starts");
    let caller = Caller::new("key-0");
    let histogram = || Histogram::<u64>::new_with_max(60_000_000, 3).expect("valid bounds");
    let mut direct = histogram();
    let mut forwarded = histogram();
    for round in 0..WARM_UP_ROUNDS {
        for entry in fleet.entries() {
            send(&caller, entry, round).await;
        }
    }
    // After the warm-up the counters show which instances forward.
    let mut entries = Vec::new();
    for entry in fleet.entries() {
        entries.push((entry, forwards(entry).await));
    }
    for round in WARM_UP_ROUNDS..WARM_UP_ROUNDS + ROUNDS {
        for (entry, forwards) in &entries {
            let first = send(&caller, *entry, round).await;
            let times = if *forwards {
                &mut forwarded
            } else {
                &mut direct
            };
            times.saturating_record(first.as_micros() as u64);
        }
    }
    for (name, times) in [("direct", &direct), ("forwarded", &forwarded)] {
        let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name}: {} prompts, p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
            times.len(),
            ms(0.50),
            ms(0.95),
            ms(0.99)
        );
    }
    let p95 = |times: &Histogram<u64>| times.value_at_quantile(0.95) as f64 / 1_000.0;
    println!("added at p95: {:.2} ms", p95(&forwarded) - p95(&direct));
}

/// Sends a prompt that differs from all others, and returns the time to its first token.
async fn send(caller: &Caller, entry: SocketAddr, round: usize) -> Duration {
    let piece = format!("lot {round} of {} ", entry.port());
    let mut prompt = piece.repeat(PROMPT_BYTES / piece.len() + 1);
    prompt.truncate(PROMPT_BYTES);
    let answer = caller.complete(entry, MODEL, &prompt, 1, DEADLINE).await;
    answer.first_token.expect("a first token")
}

/// Whether an instance has forwarded requests.
async fn forwards(entry: SocketAddr) -> bool {
    let client = Client::default();
    let request = Client::request(Method::Get, entry, "/metrics").expect("a valid path");
    let response = client.fetch(entry, request, Reuse::Never, 1 << 20).await;
    let text = String::from_utf8(response.expect("metrics").1).expect("text");
    let name = "jujubehook_forwarded_total ";
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.is_some_and(|count| count.trim() != "0")
}
