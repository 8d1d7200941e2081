//! Guards against prompts that need many engines and are refused while narrower ones are served.

mod entry_fixtures;
mod entry_sim;

use std::cmp::Reverse;
use std::time::Duration;

use entry_fixtures::ms;
use entry_sim::{Caller, Class, Phase, Simulation, Traffic};

/// Number of parts into which the callers are divided by the sizes of their prompts.
const TENTHS: usize = 10;

fn share(callers: &[Caller], is_counted: impl Fn(Duration) -> bool) -> f64 {
    let times = callers.iter().filter_map(|caller| caller.first_event);
    times.filter(|time| is_counted(*time)).count() as f64 / callers.len() as f64
}

/// Checks that the largest tenth of the exports is served at least half as often as all of them.
fn check(traffic: &Traffic) {
    let mut exports = Simulation::run(traffic);
    exports.retain(|caller| caller.class == Class::Export);
    exports.sort_by_key(|caller| Reverse(caller.prompt));
    for tenth in exports.chunks(exports.len().div_ceil(TENTHS)) {
        println!(
            "up to {} tokens: {:.2} served, {:.2} on time",
            tenth[0].prompt,
            share(tenth, |_| true),
            share(tenth, |time| time <= Class::Export.objective())
        );
    }
    let all = share(&exports, |_| true);
    let largest = share(&exports[..exports.len() / TENTHS], |_| true);
    assert!(
        largest >= all / 2.0,
        "{largest:.2} of the largest tenth are served, {all:.2} of all {} exports",
        exports.len()
    );
}

/// Load pattern: a long burst of exports at hundreds of engines.
#[test]
fn wide_in_burst() {
    check(&Traffic {
        instances: 16,
        phases: vec![Phase {
            chats: 195.0,
            contracts: 25.0,
            exports: 18.0,
            until: ms(22_000),
        }],
        ..Traffic::default()
    });
}

/// Load pattern: a long burst of exports at a few engines.
#[test]
fn wide_at_few_engines() {
    check(&Traffic {
        engines: 23,
        instances: 13,
        phases: vec![Phase {
            chats: 17.0,
            contracts: 3.0,
            exports: 1.8,
            until: ms(45_000),
        }],
        slots: 16,
        ..Traffic::default()
    });
}
