use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{Engine, Figures, Target, TargetKey};

/// Most engines that read one prompt: the first and sixteen helpers.
const MOST_PARTS: usize = 17;

/// Requests with short prompts for which an engine is set aside, as a share of its slots. The rest takes what other
/// instances send before their next beat.
const FILL: f64 = 0.75;

/// A prompt that is read within this time is read by one engine: a pass with writers takes about as long.
const WHOLE: Duration = Duration::from_millis(60);

/// Shortest part of a prompt that is worth a helper: about one step of reading.
const LEAST_PART: Duration = Duration::from_millis(14);

/// Pace from which an engine counts as slow and comes last: an event then takes as long as a chat's pause allows with
/// half of it left for reading.
const SLOW: f64 = 1.8;

/// Cost of one more helper, as time: each one can fail or be late.
const HELPER_COST: Duration = Duration::from_millis(3);

/// Cost of another failure domain, as time: the path there and back.
const FAR_COST: Duration = Duration::from_millis(4);

/// What is asked of the engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Time left until the first event is late.
    pub aim: Duration,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Time left until the caller leaves.
    pub left: Duration,
    /// Prompt tokens to read.
    pub prompt: u32,
    /// Tokens of context at the end.
    pub tokens: u32,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Target that gets the request.
    pub first: Rc<Target>,
    /// Targets that read a part each.
    pub helpers: Vec<(TargetKey, SocketAddr)>,
    /// Whether the prompt is short.
    pub light: bool,
    /// Reading time of each part.
    pub part: Duration,
    /// Predicted time until the first event.
    pub wait: Duration,
}

/// Places a request on engines.
///
/// Requests whose prompts are short write on few engines, packed densely: writers cost each other next to nothing, but
/// a long reading stretches the pass of every writer beside it. The other engines have no writers with short pauses
/// and read long prompts together. The engines are ordered by the hash of their ids, and how many are for short prompts
/// follows the number of such requests, so all instances agree without a leader.
///
/// Returns none if no engine can take the request now.
pub fn place(ask: &Ask, figures: &Figures, engines: &[Engine], luck: u64) -> Option<Placement> {
    let mut order: Vec<&Engine> = engines.iter().collect();
    order.sort_by_key(|engine| (engine.pace >= SLOW, engine.key));
    let split = writers(&order, figures);
    let read = figures.read(ask.prompt);
    let light = is_light(read, ask, figures, order.len());
    if read <= WHOLE {
        return whole(ask, figures, &order, split, read, luck);
    }
    parts(ask, figures, &order, split, read, light, luck)
}

/// Number of engines, from the start of the order, that are for writers with short prompts.
fn writers(order: &[&Engine], figures: &Figures) -> usize {
    let light: u32 = order.iter().map(|engine| engine.load.light).sum();
    let each = (f64::from(figures.slots) * FILL).max(1.0);
    let needed = (f64::from(light + 2) / each).ceil() as usize + 1;
    needed.min(order.len().saturating_sub(order.len() / 8).max(1))
}

/// Whether a part of the prompt can be read beside writers with the same pauses.
fn is_light(read: Duration, ask: &Ask, figures: &Figures, count: usize) -> bool {
    let parts = count.clamp(1, MOST_PARTS) as u32;
    let bearable = ask.gap.min(ask.aim).saturating_sub(figures.pass()) / 4;
    read / parts <= bearable.min(WHOLE)
}

fn whole(
    ask: &Ask,
    figures: &Figures,
    order: &[&Engine],
    split: usize,
    read: Duration,
    luck: u64,
) -> Option<Placement> {
    let cost = |engine: &Engine| {
        let far = if engine.near {
            Duration::ZERO
        } else {
            FAR_COST
        };
        engine.backlog() + engine.pass(figures) + read.mul_f64(engine.pace) + far
    };
    let best = |engines: &[&Engine]| {
        engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.fits(figures, ask.tokens))
            .min_by_key(|(at, engine)| (cost(engine), mix(luck, *at)))
            .map(|(_, engine)| (cost(engine), (*engine).clone()))
    };
    let (head, tail) = order.split_at(split);
    let near = best(head);
    let (wait, engine) = match near {
        Some((wait, engine)) if wait <= ask.aim / 2 => (wait, engine),
        near => [near, best(tail)]
            .into_iter()
            .flatten()
            .min_by_key(|(wait, _)| *wait)?,
    };
    (wait < ask.left).then(|| Placement {
        first: engine.target.clone(),
        helpers: Vec::new(),
        light: true,
        part: read,
        wait,
    })
}

fn parts(
    ask: &Ask,
    figures: &Figures,
    order: &[&Engine],
    split: usize,
    read: Duration,
    light: bool,
    luck: u64,
) -> Option<Placement> {
    // Engines with the least ahead come first; those set aside for writers last among equals.
    let mut readers: Vec<(usize, &Engine)> = order.iter().copied().enumerate().collect();
    readers.sort_by_key(|(at, engine)| {
        (
            engine.backlog() + engine.pass(figures) * u32::from(engine.load.running > 0),
            *at < split,
            mix(luck, *at),
        )
    });
    let most = order.len().min(MOST_PARTS);
    let mut best: Option<(Duration, Placement)> = None;
    for count in 1..=most {
        let part = read / count as u32;
        if count > 1 && part < LEAST_PART {
            break;
        }
        let has_room = |engine: &Engine| engine.room(figures).is_none_or(|room| room >= part);
        let open: Vec<(usize, &Engine)> = readers
            .iter()
            .filter(|(_, engine)| has_room(engine))
            .copied()
            .collect();
        let Some(first) = first(ask, figures, &open, split, light, luck) else {
            continue;
        };
        let helpers: Vec<&Engine> = open
            .iter()
            .map(|(_, engine)| *engine)
            .filter(|engine| engine.key != first.key)
            .take(count - 1)
            .collect();
        if helpers.len() < count - 1 {
            break;
        }
        let end =
            |engine: &Engine| engine.backlog() + part.mul_f64(engine.pace) + engine.pass(figures);
        let wait = helpers
            .iter()
            .map(|engine| end(engine))
            .fold(end(first), Duration::max);
        let cost = wait + HELPER_COST * count as u32;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let placement = Placement {
                first: first.target.clone(),
                helpers: helpers
                    .iter()
                    .map(|engine| (engine.key, engine.target.address))
                    .collect(),
                light,
                part,
                wait,
            };
            best = Some((cost, placement));
        }
    }
    best.map(|(_, placement)| placement)
        .filter(|placement| placement.wait < ask.left)
}

/// The engine that gets the request itself: one with writers for a short prompt, one of the last in the order for a
/// long one.
fn first<'a>(
    ask: &Ask,
    figures: &Figures,
    open: &[(usize, &'a Engine)],
    split: usize,
    light: bool,
    luck: u64,
) -> Option<&'a Engine> {
    open.iter()
        .filter(|(_, engine)| engine.fits(figures, ask.tokens))
        .min_by_key(|(at, engine)| {
            let home = (*at < split) == light;
            let coarse = engine.backlog().as_millis() / 50;
            (!home, coarse, engine.load.running, mix(luck, *at))
        })
        .map(|(_, engine)| *engine)
}

/// Spreads equal choices of several instances.
fn mix(luck: u64, at: usize) -> u64 {
    luck.wrapping_add(at as u64)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        >> 32
}
