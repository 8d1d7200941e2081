//! Measures the time that the calls of the admission queue take with 256 waiting requests from 64 workspaces.

use std::hint::black_box;
use std::time::{Duration, Instant};

use jujubehook::entry::{Queue, Waiting};

/// Number of waiting requests.
const CAPACITY: usize = 256;

/// Number of rounds of all calls.
const ROUNDS: u64 = 20_000;

fn waiting(number: u64, priorities: u64, now: Duration) -> Waiting {
    let latest_start = now + Duration::from_millis(2_000 + number * 7 % 900);
    Waiting {
        arrival: now,
        cost: Duration::from_millis(200 + number % 5 * 100),
        latest_start,
        leaves: latest_start + Duration::from_secs(5),
        number,
        priority: (number % priorities) as u8,
        resumes: number.is_multiple_of(50),
        workspace: (number * 31 % 64) as u32,
    }
}

fn main() {
    for (rate, priorities) in [(1_000.0, 3), (128.0, 3), (110.0, 3), (128.0, 64)] {
        measure(rate, priorities);
    }
    measure_fall();
}

/// Measures `expire` when the rate falls to zero, so that nearly all requests are removed at once.
fn measure_fall() {
    let mut times = Vec::new();
    for seed in 0..1_000 {
        let mut queue = Queue::with_seed(CAPACITY, seed);
        for number in 0..CAPACITY as u64 {
            queue.offer(waiting(number, 3, Duration::ZERO), 1_000.0, Duration::ZERO);
        }
        let start = Instant::now();
        let removed = black_box(queue.expire(0.0, Duration::ZERO));
        times.push(start.elapsed());
        assert!(removed.len() > 200);
    }
    println!("rate falls to 0/s");
    report("expire", &mut times);
}

fn measure(rate: f64, priorities: u64) {
    let mut queue = Queue::with_seed(CAPACITY, 1);
    let mut times: [Vec<Duration>; 4] = Default::default();
    let mut waited = 0;
    for number in 0..ROUNDS {
        // Requests arrive at four times the rate.
        let now = Duration::from_secs_f64(number as f64 / rate / 4.0);
        let request = waiting(number, priorities, now);
        let full = number >= CAPACITY as u64;
        let mut time = |call: usize, start: Instant| {
            if full {
                times[call].push(start.elapsed());
            }
        };
        let start = Instant::now();
        black_box(queue.offer(request, rate, now));
        time(0, start);
        let start = Instant::now();
        let head = black_box(queue.head()).map(|head| head.number);
        time(1, start);
        waited += queue.len();
        if number.is_multiple_of(4) {
            let start = Instant::now();
            black_box(head.and_then(|number| queue.remove(number, true)));
            time(2, start);
        }
        let start = Instant::now();
        black_box(queue.expire(rate, now));
        time(3, start);
    }
    let mean = waited / ROUNDS as usize;
    println!("rate {rate}/s, {priorities} priorities, {mean} waiting on average");
    for (call, times) in ["offer", "head", "remove", "expire"].iter().zip(&mut times) {
        report(call, times);
    }
}

fn report(call: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let (median, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    let max = times[times.len() - 1];
    println!(
        "  {call}: median {median:?}, p99 {p99:?}, max {max:?}, {} calls",
        times.len()
    );
}
