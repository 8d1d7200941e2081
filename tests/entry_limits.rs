//! Guards against limits that each instance keeps but all instances together exceed.

mod entry_fixtures;

use entry_fixtures::{ms, target_key};
use jujubehook::entry::{Budgets, ColdLimiter};

/// Requests per second that a cold target tolerates in these tests, and the limit over all instances.
const COLD_PER_S: f64 = 36.0;
const COLD_BOUND: usize = 59;

fn instances(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("instance-{number}"))
        .collect()
}

/// The shares of all instances add up to no more than a cold target tolerates, for any number of instances.
#[test]
fn cold_shares_add_up() {
    for count in [1, 3, 13, 18, 36, 37, 134, 360] {
        let names = instances(count);
        for target in ["a", "b", "c"] {
            let share =
                |name: &String| ColdLimiter::share(target_key(target), COLD_PER_S, name, &names);
            let sum: usize = names.iter().map(share).sum();
            assert!(sum as f64 <= COLD_PER_S, "{sum} of {count} instances");
            assert!(
                sum > 0,
                "a cold target of {count} instances never gets warm"
            );
        }
    }
}

/// A target that turns cold unannounced gets no more than a cold one tolerates, unless there are more instances than
/// requests.
#[test]
fn warm_share_keeps_limit() {
    for count in 1..=53 {
        let sum = ColdLimiter::warm_share(COLD_BOUND as f64, count) * count;
        assert!(sum <= COLD_BOUND, "{sum} of {count} instances");
    }
}

/// Instances that do not know of each other take larger shares. The limit must hold while the last 3 of 18
/// instances are unknown to the other 15.
#[test]
fn cold_holds_with_two_views() {
    let names = instances(18);
    let (known, all) = (&names[..15], &names[..]);
    let sum: usize = names
        .iter()
        .map(|name| {
            let view = if known.contains(name) { known } else { all };
            ColdLimiter::share(target_key("a"), COLD_PER_S, name, view)
        })
        .sum();
    assert!(sum <= COLD_BOUND, "{sum}");
}

/// The share holds in every sliding window of a second, not only in calendar seconds.
#[test]
fn cold_window_slides() {
    let mut limiter = ColdLimiter::default();
    assert!(limiter.has_room(1, 2, ms(900)));
    limiter.count(1, ms(900));
    limiter.count(1, ms(950));
    assert!(!limiter.has_room(1, 2, ms(1_050)));
    assert!(!limiter.has_room(1, 2, ms(1_899)));
    assert!(limiter.has_room(1, 2, ms(1_900)));
}

/// Retries of all instances together stay within ratio and slack in every window, even if all requests fail at once.
#[test]
fn retries_stay_in_budget() {
    let (ratio, slack, count) = (0.2, 217.0, 13);
    let mut spent: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for instance in 0..count {
        let mut budgets = Budgets::new(ratio, slack, ms(10_000));
        for step in 0..3_000u64 {
            let now = step * 10 + instance;
            budgets.count_request("llm", ms(now));
            requests.push(now);
            while budgets.spend("llm", count as usize, ms(now)) {
                spent.push(now);
            }
        }
    }
    for start in (0..20_000).step_by(500) {
        let within = |times: &[u64]| {
            let inside = times
                .iter()
                .filter(|at| (start..start + 10_000).contains(*at));
            inside.count() as f64
        };
        let allowed = ratio * within(&requests) + slack;
        assert!(within(&spent) <= allowed, "{} of {allowed}", within(&spent));
    }
}

/// A failing service does not use up the budget of another.
#[test]
fn budgets_are_separate() {
    let mut budgets = Budgets::new(0.0, 10.0, ms(10_000));
    while budgets.spend("llm", 1, ms(0)) {}
    assert!(budgets.spend("seats", 1, ms(0)));
}
