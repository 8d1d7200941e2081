//! Waits of short prompts that share engines with long ones, for each mechanism compared with first in, first out.

mod drive;

use drive::{long_requests, run, short_requests, Outcome};
use jujubehook::target::{Class, Settings};

/// 95th percentile of the time to first token of short prompts, in seconds.
fn p95(outcomes: &[Outcome]) -> f64 {
    let short = outcomes.iter().filter(|one| one.class == Class::Short);
    let mut waits: Vec<_> = short.map(Outcome::time_to_first_token).collect();
    waits.sort_unstable();
    waits[waits.len() * 95 / 100].as_secs_f64()
}

/// Short prompts take half of the prefill capacity. Returns their p95 without and with four long prompts, each of 10 s
/// of prefill, which must finish by their deadline.
fn measure(name: &str, settings: &Settings, engines: usize, gap: f64) -> (f64, f64) {
    let short_requests = || short_requests(0.5 * engines as f64, 120.0, 20.0);
    let alone = p95(&run(settings, engines, short_requests()));
    let mixed = run(
        settings,
        engines,
        short_requests()
            .into_iter()
            .chain(long_requests(gap))
            .collect(),
    );
    let with = p95(&mixed);
    println!("{engines} engines, gap {gap} s, {name}: {alone:.3} s, with long {with:.3} s");
    let long = mixed.iter().filter(|one| one.class == Class::Long);
    assert_eq!(long.filter(|one| one.in_time()).count(), 4, "{name}");
    (alone, with)
}

/// `factor`: largest p95 with all mechanisms on, as a multiple of the p95 without long prompts.
fn compare(engines: usize, gap: f64, factor: f64) {
    let (_, baseline) = measure("fifo", &Settings::default().fifo(), engines, gap);
    for name in ["chunking", "packing", "reserve", "slack"] {
        let settings = Settings {
            chunking: name == "chunking",
            packing: name == "packing",
            reserve: name == "reserve",
            slack: name == "slack",
            ..Settings::default()
        };
        let (_, with) = measure(name, &settings, engines, gap);
        assert!(with <= baseline, "{name}: {with} s > {baseline} s");
    }
    let (alone, with) = measure("together", &Settings::default(), engines, gap);
    assert!(with <= factor * alone, "{with} s, {alone} s without");
}

/// Guards against a mechanism that is worse for short prompts than first in, first out, and against long prompts that
/// starve although the load is below capacity, whether they arrive far apart or all at once.
#[test]
fn one_engine() {
    compare(1, 30.0, 3.0);
    compare(1, 0.1, 12.0);
}

/// Guards against spreading long prompts over all engines.
#[test]
fn four_engines() {
    compare(4, 0.1, 3.0);
}
