//! Placement of requests on engines: which engines prefill the prompt, and which one generates the answer.

mod hold;
mod memory;
mod single;
mod split;
mod survey;
mod usable;

use std::rc::Rc;
use std::time::Duration;

use super::{Engine, Profile, Target, TargetKey};

pub use hold::place_held;
pub(super) use split::BACKGROUND_SHARE;
pub use survey::{survey, Survey};
pub use usable::{is_long, usable, Usable};

/// Maximum number of engines that prefill one prompt: the primary and sixteen helpers.
pub(super) const MAX_PARTS: usize = 17;

/// Share of an engine's slots that requests with short prompts are expected to fill. The rest takes what other
/// instances send before their next heartbeat.
const TARGET_FILL: f64 = 0.75;

/// The same where an allocator grants the slots. The rest is used until another engine has finished its prefill of long
/// prompts and takes short ones.
const PERMITTED_FILL: f64 = 0.85;

/// Minimum number of requests with short prompts for which engines are kept that are not known yet.
const MIN_UNSEEN: f64 = 2.0;

/// Time for which a request with a short prompt runs, by which their rate follows from their number.
const SHORT_RUN_TIME: Duration = Duration::from_secs(2);

/// Number of unseen requests up to which all engines are compared; with more, the share that is compared falls. Instances
/// with the same old news would choose the same engines if each of them compared all.
const COMPARED_SHARE: f64 = 4.0;

/// Minimum number of engines that are compared.
const MIN_COMPARED: usize = 2;

/// Requests with short prompts that are sent within `interval` if `running` of them run.
pub fn unseen_requests(running: u32, interval: Duration) -> f64 {
    f64::from(running) * interval.as_secs_f64() / SHORT_RUN_TIME.as_secs_f64()
}

/// Maximum prefill time of a prompt that is placed on a single engine; a decode pass takes about as long.
const SINGLE_LIMIT: Duration = Duration::from_millis(60);

/// Slowdown from which an engine counts as slow and is used last: from there on, events take so long that less than
/// half of the gap that a chat tolerates is left for prefill.
const SLOW_FROM: f64 = 1.8;

/// What a request needs from the engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Requirements {
    /// Time until the caller disconnects.
    pub deadline: Duration,
    /// Objective for the gap between events.
    pub gap: Duration,
    /// Time until the first event misses its objective.
    pub objective: Duration,
    /// Whether an allocator in each domain grants the slots for short prompts, so that none is taken twice.
    pub permits: bool,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of context at the end of the answer.
    pub tokens: u32,
    /// Requests with short prompts that other instances send before this one hears of them.
    pub unseen: f64,
}

/// An engine that prefills a part of a prompt for another one.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Tokens of memory to reserve there; 0 if the primary engine holds the whole context.
    pub reserved: u32,
    /// The engine.
    pub target: Rc<Target>,
}

/// The engines chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Whether newer work may be processed first, because the request misses its objective in any case.
    pub background: bool,
    /// Other targets that prefill one part each.
    pub helpers: Vec<Helper>,
    /// Prefill time of each part.
    pub part_time: Duration,
    /// Target that gets the request.
    pub primary: Rc<Target>,
    /// Tokens of context that the primary engine holds.
    pub primary_tokens: u32,
    /// Whether the prompt is short.
    pub short: bool,
    /// Predicted time to the first event.
    pub wait: Duration,
}

/// What to do with a request.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Keep it, and hold these engines for it until earlier work there has ended.
    Hold(Placement),
    /// Keep it, and go on holding the engines that are held for it.
    Keep,
    /// Refuse it: no placement answers it before the caller disconnects.
    Refuse,
    /// Send it.
    Place(Placement),
    /// Keep it: a placement may become possible soon.
    Wait,
}

/// Input of one placement decision.
struct Placer<'a> {
    /// The engines in the order on which all instances agree.
    order: Vec<&'a Engine>,
    /// Prefill time of the whole prompt on one engine.
    prefill_time: Duration,
    profile: &'a Profile,
    requirements: &'a Requirements,
    /// Random number for tie-breaking between equal engines.
    seed: u64,
    /// Number of engines, from the start of `order`, that are preferred for requests with short prompts.
    short_engines: usize,
}

/// Places a request on engines.
///
/// Requests with short prompts are packed onto few engines: decoding requests hardly slow down each other, but a long
/// prefill stretches the passes of every request that decodes on the same engine. The other engines share the prefill
/// of long prompts. Engines are ordered by the hash of their ids, and the number of engines for short prompts follows
/// from the number of such requests, so all instances agree without a leader.
pub fn place(
    requirements: &Requirements,
    profile: &Profile,
    engines: &[Engine],
    seed: u64,
) -> Choice {
    if engines.is_empty() {
        return Choice::Wait;
    }
    let placer = Placer::new(requirements, profile, engines, seed);
    if placer.prefill_time <= SINGLE_LIMIT {
        return placer.place_single();
    }
    placer.place_split()
}

/// The engines that are preferred for requests with short prompts.
pub fn short_set(
    requirements: &Requirements,
    profile: &Profile,
    engines: &[Engine],
) -> Vec<TargetKey> {
    let placer = Placer::new(requirements, profile, engines, 0);
    let preferred = placer.order[..placer.short_engines].iter();
    preferred.map(|engine| engine.key).collect()
}

/// Number of engines for requests with short prompts. One engine in eight stays for long prompts.
fn short_engines(order: &[&Engine], profile: &Profile, unseen: f64) -> usize {
    let requests = short_requests(order) + unseen.max(MIN_UNSEEN);
    short_engines_for(requests, order.len(), profile)
}

/// The same for this number of such requests at `all` engines.
fn short_engines_for(requests: f64, all: usize, profile: &Profile) -> usize {
    let each = (f64::from(profile.slots) * TARGET_FILL).max(1.0);
    let needed = (requests / each).ceil() as usize + 1;
    needed.min(max_short_engines(all))
}

/// The same for one domain whose allocator grants the slots. It knows what runs, so fewer slots are kept free.
fn permitted_engines(domain: &[&Engine], profile: &Profile) -> usize {
    let each = (f64::from(profile.slots) * PERMITTED_FILL).max(1.0);
    let needed = ((short_requests(domain) + 1.0) / each).ceil() as usize;
    needed.min(max_short_engines(domain.len()))
}

fn short_requests(engines: &[&Engine]) -> f64 {
    let short = engines.iter().map(|engine| engine.load.short);
    f64::from(short.fold(0, u32::saturating_add))
}

fn max_short_engines(all: usize) -> usize {
    let long_engines = all.div_ceil(8);
    all.saturating_sub(long_engines).max(1)
}

/// Orders the engines so that those for short prompts of each domain come first; returns their number. Each domain's
/// allocator counts only the engines of its own domain.
fn order_by_domain(order: &mut Vec<&Engine>, profile: &Profile) -> usize {
    order.sort_by(|a, b| a.target.domain.cmp(&b.target.domain));
    let (mut short, mut long) = (Vec::new(), Vec::new());
    for domain in order.chunk_by(|a, b| a.target.domain == b.target.domain) {
        let (first, rest) = domain.split_at(permitted_engines(domain, profile));
        short.extend_from_slice(first);
        long.extend_from_slice(rest);
    }
    let count = short.len();
    short.append(&mut long);
    *order = short;
    count
}

impl<'a> Placer<'a> {
    fn new(
        requirements: &'a Requirements,
        profile: &'a Profile,
        engines: &'a [Engine],
        seed: u64,
    ) -> Placer<'a> {
        let mut order: Vec<&Engine> = engines.iter().collect();
        order.sort_by_key(|engine| (engine.slowdown >= SLOW_FROM, engine.key));
        let short_engines = match requirements.permits {
            true => order_by_domain(&mut order, profile),
            false => short_engines(&order, profile, requirements.unseen),
        };
        Placer {
            order,
            prefill_time: profile.prefill_time(requirements.prompt),
            profile,
            requirements,
            seed,
            short_engines,
        }
    }

    /// Pseudo-random value for tie-breaking, so that instances spread equal choices over the engines.
    fn tie_break(&self, at: usize) -> u64 {
        self.seed
            .wrapping_add(at as u64)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 32
    }

    /// Number of engines to compare out of `count`.
    fn compared(&self, count: usize) -> usize {
        let share = COMPARED_SHARE / self.requirements.unseen.max(COMPARED_SHARE);
        let compared = (count as f64 * share).ceil() as usize;
        compared.max(MIN_COMPARED).min(count)
    }

    /// Time until an engine has finished its backlog and one more part of length `part`.
    fn finish_time(&self, engine: &Engine, part: Duration) -> Duration {
        let pass = match engine.load.running {
            0 => Duration::ZERO,
            _ => engine.pass_time(self.profile),
        };
        engine.backlog() + part.mul_f64(engine.slowdown) + pass
    }
}
