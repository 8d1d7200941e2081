//! Short prompts that share an engine with long ones, for each mechanism against first in, first out.

mod drive;

use drive::{at, item, run, Outcome};
use jujubehook::target::{Class, Settings};

const LONGS: u64 = 4;
const LONG_PROMPT: u64 = 200_000;
/// Share of the engines' prefill that short prompts take.
const SHORT_LOAD: f64 = 0.5;
const SHORT_PROMPT: u64 = 2_000;
const TIME: f64 = 120.0;

/// Long prompts of 10 s of prefill each that arrive `gap` seconds apart among randomly spaced short ones.
struct Case {
    engines: usize,
    gap: f64,
}

impl Case {
    fn new(engines: usize, gap: f64) -> Case {
        Case { engines, gap }
    }

    fn outcomes(&self, settings: &Settings, longs: u64) -> Vec<Outcome> {
        let mut rng = fastrand::Rng::with_seed(7);
        let rate = settings.prefill_rate as f64 * self.engines as f64;
        let gap = SHORT_PROMPT as f64 / rate / SHORT_LOAD;
        let mut arrivals = Vec::new();
        let mut time = 0.0;
        while time < TIME {
            let request = 1_000 + arrivals.len() as u64;
            arrivals.push((at(time), item(request, SHORT_PROMPT, time + 20.0)));
            time -= gap * (1.0 - rng.f64()).ln();
        }
        for long in 0..longs {
            let time = 5.0 + self.gap * long as f64;
            arrivals.push((at(time), item(long, LONG_PROMPT, time + 100.0)));
        }
        run(settings, self.engines, &arrivals)
    }

    /// 95th percentile without and with long prompts, and the long prompts that ended in time.
    fn measure(&self, name: &str, settings: &Settings) -> (f64, f64, usize) {
        let alone = p95(&self.outcomes(settings, 0));
        let mixed = self.outcomes(settings, LONGS);
        let with = p95(&mixed);
        let long = in_time(&mixed);
        let (engines, gap, ratio) = (self.engines, self.gap, with / alone);
        println!(
            "{engines} engines, {gap} s: {name} {alone:.3} s, {with:.3} s, {ratio:.1}, {long}"
        );
        (alone, with, long)
    }
}

/// 95th percentile of the time to first token of short prompts in seconds; one that was not served counts as 20 s.
fn p95(outcomes: &[Outcome]) -> f64 {
    let mut waits: Vec<f64> = outcomes
        .iter()
        .filter(|outcome| Class::of(outcome.item.prompt) == Class::Short)
        .map(|outcome| {
            outcome
                .first
                .map_or(20.0, |first| (first - outcome.offered).as_secs_f64())
        })
        .collect();
    waits.sort_by(f64::total_cmp);
    waits[waits.len() * 95 / 100]
}

fn in_time(outcomes: &[Outcome]) -> usize {
    let in_time = |outcome: &&Outcome| outcome.end.is_some_and(|end| end <= outcome.item.deadline);
    let long = |outcome: &&Outcome| Class::of(outcome.item.prompt) == Class::Long;
    outcomes.iter().filter(long).filter(in_time).count()
}

/// `factor`: largest wait with all mechanisms on, relative to that without long prompts.
fn compare(case: Case, factor: f64) {
    let (_, baseline, _) = case.measure("fifo", &Settings::default().fifo());
    for name in ["chunking", "packing", "reserve", "slack"] {
        let settings = Settings {
            chunking: name == "chunking",
            packing: name == "packing",
            reserve: name == "reserve",
            slack: name == "slack",
            ..Settings::default()
        };
        let (_, with, long) = case.measure(name, &settings);
        assert!(with <= baseline, "{name}: {with} s > {baseline} s");
        assert_eq!(long, LONGS as usize, "{name}: late long prompts");
    }
    let (alone, with, long) = case.measure("together", &Settings::default());
    assert!(
        with <= factor * alone,
        "{with} s with long prompts, {alone} s without"
    );
    assert_eq!(long, LONGS as usize, "late long prompts");
}

/// Guards against a mechanism that is worse than first in, first out for short prompts, and against long prompts
/// that starve although the load is below capacity.
#[test]
fn one_engine() {
    compare(Case::new(1, 30.0), 3.0);
}

/// Guards against several long prompts in a row that run without a gap for short ones.
#[test]
fn one_engine_burst() {
    compare(Case::new(1, 0.1), 12.0);
}

/// Guards against long prompts that spread over all engines.
#[test]
fn four_engines() {
    compare(Case::new(4, 0.1), 3.0);
}
