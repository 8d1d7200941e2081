//! Measures the time that `offer`, `next` and `load` of the scheduler take with 1,000 requests in its queue.

use std::time::{Duration, Instant};

use jujubehook::target::{Request, Scheduler, Settings};

/// Number of queued requests.
const QUEUE_LENGTH: u64 = 1_000;

/// Number of requests that are offered.
const REQUESTS: u64 = 20_000;

fn request(id: u64, workspaces: u64) -> Request {
    let prompt = [1_000, 4_000, 20_000, 100_000][id as usize % 4];
    Request {
        deadline: Duration::from_secs(1_000_000 + id * 7 % 900),
        held: false,
        id,
        max_tokens: 100,
        prefix: (0..prompt / 256)
            .map(|block| block * 31 + id % 50)
            .collect(),
        prompt,
        weight: 1,
        workspace: format!("workspace-{}", id * 13 % workspaces),
    }
}

fn main() {
    for (name, settings, workspaces) in [
        ("fifo", Settings::default().fifo(), 10),
        ("all on", Settings::default(), 10),
        ("all on", Settings::default(), 1_000),
    ] {
        measure(name, settings, workspaces);
    }
}

fn measure(name: &str, settings: Settings, workspaces: u64) {
    let now = Duration::from_secs(1);
    let mut scheduler = Scheduler::new(settings, now);
    let mut id = 0;
    let (mut offer, mut next, mut load) = (Vec::new(), Vec::new(), Vec::new());
    while id < REQUESTS {
        while scheduler.load(now).queued < QUEUE_LENGTH as u32 {
            let request = request(id, workspaces);
            id += 1;
            let start = Instant::now();
            let accepted = scheduler.offer(request, now);
            offer.push(start.elapsed());
            assert!(accepted.is_ok(), "{accepted:?}");
        }
        let start = Instant::now();
        let dispatch = scheduler.next(now);
        next.push(start.elapsed());
        let start = Instant::now();
        std::hint::black_box(scheduler.load(now));
        load.push(start.elapsed());
        let Some(dispatch) = dispatch else {
            continue;
        };
        if dispatch.last {
            scheduler.record_first_token(dispatch.request, now);
            scheduler.finish(dispatch.request, true, now);
        } else {
            scheduler.finish_chunk(dispatch.request, now);
        }
    }
    // The first offers only fill the queue.
    report(
        name,
        workspaces,
        "offer",
        &mut offer.split_off(QUEUE_LENGTH as usize),
    );
    report(name, workspaces, "next", &mut next);
    report(name, workspaces, "load", &mut load);
}

fn report(name: &str, workspaces: u64, call: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let (median, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!(
        "{name}, {workspaces} workspaces, {call}: median {median:?}, p99 {p99:?}, {} calls",
        times.len()
    );
}
