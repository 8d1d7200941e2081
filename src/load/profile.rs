use std::time::Duration;

use super::arrival::{Arrival, Work};
use crate::id::Tokens;
use crate::target::Class;

/// Share of arrivals that are prompts; the rest are service calls.
const PROMPT_SHARE: f64 = 0.8;

/// Share of service calls that are sales.
const SALE_SHARE: f64 = 0.25;

/// Share of arrivals that come from the large workspaces.
const LARGE_SHARE: f64 = 0.5;

/// Number of large workspaces.
const LARGE_WORKSPACES: usize = 2;

/// Number of distinct preambles in each workspace; each prompt starts with one of them.
const PREAMBLES: u64 = 8;

/// Fewest and most tokens to generate.
const GENERATED_TOKENS: (u64, u64) = (4, 16);

/// Distribution of prompt lengths: cumulative share, shortest and longest length in tokens. Lengths are log-uniform
/// within each range. One prompt in 50 has more than 100,000 tokens.
const PROMPT_LENGTHS: [(f64, f64, f64); 4] = [
    (0.90, 1_000.0, 8_000.0),
    (0.97, 8_000.0, 32_000.0),
    (0.98, 32_000.0, 100_000.0),
    (1.00, 100_000.0, 1_000_000.0),
];

/// Parameters from which the arrivals of a load are drawn. Equal profiles have equal arrivals.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Whether long prompts are sent. Leaving them out does not change the other arrivals.
    pub long: bool,
    /// Arrivals per second.
    pub rate: f64,
    /// Time over which requests arrive, in seconds.
    pub seconds: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of workspaces.
    pub workspaces: usize,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            long: true,
            rate: 50.0,
            seconds: 60.0,
            seed: 1,
            workspaces: 10,
        }
    }
}

impl Profile {
    /// All arrivals, ordered by time. They are a Poisson process: gaps between them are distributed exponentially.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.f64()).ln() / self.rate;
            if at >= self.seconds {
                return arrivals;
            }
            let arrival = self.arrival(&mut random, at);
            if self.long || !arrival.is_long() {
                arrivals.push(arrival);
            }
        }
    }

    fn arrival(&self, random: &mut fastrand::Rng, at: f64) -> Arrival {
        Arrival {
            at: Duration::from_secs_f64(at),
            entry: random.usize(..),
            nonce: random.u64(..),
            workspace: self.workspace(random),
            work: work(random),
        }
    }

    fn workspace(&self, random: &mut fastrand::Rng) -> usize {
        let large = LARGE_WORKSPACES.min(self.workspaces);
        if random.f64() < LARGE_SHARE || large == self.workspaces {
            return random.usize(..large);
        }
        random.usize(large..self.workspaces)
    }
}

impl Arrival {
    /// Length class of a prompt; `None` for service calls.
    pub fn class(&self) -> Option<Class> {
        match self.work {
            Work::Prompt { tokens, .. } => Some(Class::of(tokens)),
            Work::Question | Work::Sale { .. } => None,
        }
    }

    fn is_long(&self) -> bool {
        self.class() == Some(Class::Long)
    }
}

fn work(random: &mut fastrand::Rng) -> Work {
    if random.f64() < PROMPT_SHARE {
        return Work::Prompt {
            generated: random.u64(GENERATED_TOKENS.0..=GENERATED_TOKENS.1),
            preamble: random.u64(..PREAMBLES),
            tokens: prompt_length(random),
        };
    }
    if random.f64() < SALE_SHARE {
        return Work::Sale {
            issued: random.bool(),
        };
    }
    Work::Question
}

fn prompt_length(random: &mut fastrand::Rng) -> Tokens {
    let pick = random.f64();
    let (_, low, high) = PROMPT_LENGTHS
        .into_iter()
        .find(|(share, ..)| pick < *share)
        .unwrap_or(PROMPT_LENGTHS[PROMPT_LENGTHS.len() - 1]);
    (low * (high / low).powf(random.f64())).ceil() as Tokens
}
