//! Which engines read a prompt, and which one answers.

mod memory;
mod single;
mod split;

use std::rc::Rc;
use std::time::Duration;

use super::{Engine, Profile, Target};

/// Most engines that read one prompt: the first and sixteen helpers.
const MAX_PARTS: usize = 17;

/// Requests with short prompts for which an engine is set aside, as a share of its slots. The rest takes what other
/// instances send before their next beat.
const TARGET_FILL: f64 = 0.75;

/// Requests with short prompts that may come from all instances before their next beats.
const UNSEEN_REQUESTS: u32 = 2;

/// A prompt that is read within this time is read by one engine: a pass with writers takes about as long.
const SINGLE_LIMIT: Duration = Duration::from_millis(60);

/// Pace from which an engine counts as slow and comes last: an event then takes as long as a chat's pause allows with
/// half of it left for reading.
const SLOW_FROM: f64 = 1.8;

/// What is asked of the engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Time left until the first event is late.
    pub objective: Duration,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Time left until the caller leaves.
    pub deadline: Duration,
    /// Prompt tokens to read.
    pub prompt: u32,
    /// Tokens of context at the end.
    pub tokens: u32,
}

/// An engine that reads a part of a prompt.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Tokens of memory to set aside there; 0 if the first engine holds all of the context.
    pub reserved: u32,
    /// The engine.
    pub target: Rc<Target>,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Target that gets the request.
    pub primary: Rc<Target>,
    /// Whether the request is late anyway, so that newer work may come first.
    pub background: bool,
    /// Targets that read a part each.
    pub helpers: Vec<Helper>,
    /// Whether the prompt is short.
    pub short: bool,
    /// Reading time of each part.
    pub part_time: Duration,
    /// Tokens of context that the first engine holds.
    pub primary_tokens: u32,
    /// Predicted time until the first event.
    pub wait: Duration,
}

/// What to do with a request now.
#[derive(Clone, Debug)]
pub enum Choice {
    /// It cannot be answered in time any more.
    Refuse,
    /// Send it.
    Place(Placement),
    /// Keep it here: there may be a place soon.
    Wait,
}

/// One choice: what is asked, and the engines in the order that all instances agree on.
struct Placer<'a> {
    demand: &'a Demand,
    profile: &'a Profile,
    /// Spreads equal choices of several instances.
    seed: u64,
    order: Vec<&'a Engine>,
    /// Reading time of the whole prompt.
    prefill_time: Duration,
    /// Number of engines, from the start of the order, that are for writers with short pauses.
    short_engines: usize,
}

/// Places a request on engines.
///
/// Requests whose prompts are short write on few engines, packed densely: writers cost each other next to nothing, but
/// a long reading stretches the pass of every writer beside it. The other engines have no writers with short pauses
/// and read long prompts together. The engines are ordered by the hash of their ids, and how many are for short prompts
/// follows the number of such requests, so all instances agree without a leader.
pub fn place(demand: &Demand, profile: &Profile, engines: &[Engine], seed: u64) -> Choice {
    let mut order: Vec<&Engine> = engines.iter().collect();
    order.sort_by_key(|engine| (engine.slowdown >= SLOW_FROM, engine.key));
    let placer = Placer {
        short_engines: short_engines(&order, profile),
        demand,
        profile,
        seed,
        order,
        prefill_time: profile.prefill_time(demand.prompt),
    };
    if placer.prefill_time <= SINGLE_LIMIT {
        return placer.place_whole();
    }
    placer.place_split()
}

/// Number of engines for writers with short pauses. One engine in eight stays for reading.
fn short_engines(order: &[&Engine], profile: &Profile) -> usize {
    let short: u32 = order.iter().map(|engine| engine.load.short).sum();
    let each = (f64::from(profile.slots) * TARGET_FILL).max(1.0);
    let needed = (f64::from(short + UNSEEN_REQUESTS) / each).ceil() as usize + 1;
    let readers = order.len().div_ceil(8);
    needed.min(order.len().saturating_sub(readers).max(1))
}

impl Placer<'_> {
    /// Spreads equal choices of several instances over the engines.
    fn tie_break(&self, at: usize) -> u64 {
        self.seed
            .wrapping_add(at as u64)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 32
    }

    /// Time until an engine has read one more part of `part`.
    fn end(&self, engine: &Engine, part: Duration) -> Duration {
        let pass = match engine.load.running {
            0 => Duration::ZERO,
            _ => engine.pass_time(self.profile),
        };
        engine.backlog() + part.mul_f64(engine.slowdown) + pass
    }
}
