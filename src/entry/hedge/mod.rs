//! Decisions on hedged requests: a second send of a repeatable request whose first send is slow.
//!
//! Load: a few slow responses from uneven targets, of requests that may run twice. No I/O; times are passed in.
//! `docs/design/hedging.md` describes the limits and what happens when a part fails.

mod budget;
mod decision;
mod delay;
mod outbox;
mod times;

pub use budget::{Budget, MAX_TOKENS, START_TOKENS};
pub use decision::{decide, Reason, Situation};
pub use delay::{hedge_at, slow_quantile, OBJECTIVE_DIVISOR};
pub use outbox::{Outbox, MAX_SAMPLES};
pub use times::{Times, MIN_SAMPLES};

use std::time::Duration;

/// Largest share of the requests that may be hedged; that of the retry budget, from which hedges are taken too.
pub const MAX_RATIO: f64 = 0.2;

/// Longest time that a sample may have.
pub const MAX_TIME: Duration = Duration::from_secs(3_600);

const NANOS_PER_MS: u128 = 1_000_000;

/// Short form of a route's name in samples: the low half of its hash.
pub type RouteKey = u32;

/// A measured time: route and milliseconds.
pub type Sample = (RouteKey, u32);

/// The key of the route with this name.
pub fn route_key(name: &str) -> RouteKey {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as RouteKey
}

/// Whether an instance can have measured these samples if `longest` is the longest timeout of a route.
pub fn are_possible(samples: &[Sample], longest: Duration) -> bool {
    let longest = longest.min(MAX_TIME).as_millis();
    samples.len() <= MAX_SAMPLES && samples.iter().all(|(_, ms)| u128::from(*ms) <= longest)
}

/// What an instance knows for its decisions on hedges.
#[derive(Clone, Debug)]
pub struct Hedging {
    /// Hedges that may still be sent.
    pub budget: Budget,
    /// Own samples for the next heartbeat.
    pub outbox: Outbox,
    /// Measured times of all instances.
    pub times: Times,
}

impl Default for Hedging {
    fn default() -> Hedging {
        Hedging {
            budget: Budget::starting_at(START_TOKENS),
            outbox: Outbox::default(),
            times: Times::default(),
        }
    }
}

impl Hedging {
    /// Adds a time that this instance measured. It is limited to the timeout of the route, which a timer may exceed.
    ///
    /// The time is rounded up: rounded down, a route whose responses take 2 to 3 ms would have a quantile of 2 ms, which
    /// nearly all its requests exceed.
    pub fn measure(&mut self, route: RouteKey, took: Duration, timeout: Duration, now: Duration) {
        let longest = timeout.min(MAX_TIME).as_millis();
        let millis = took.as_nanos().div_ceil(NANOS_PER_MS).min(longest);
        let sample = (route, u32::try_from(millis).unwrap_or(u32::MAX));
        self.times.record(sample, now);
        self.outbox.push(sample);
    }
}
