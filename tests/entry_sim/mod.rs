//! Instances that place prompts on engines, in simulated time. Engines process the newest part of a prompt first, and
//! instances know of each other by heartbeats only.

#![allow(dead_code)]

mod engine;
mod traffic;

use std::time::Duration;

use jujubehook::entry::{
    place, unseen_requests, Choice, Engine, Heartbeat, Load, Placement, Profile, Requirements,
    View, Work,
};

use crate::entry_fixtures::{engines, ms, profile};
use engine::Processor;
pub(crate) use traffic::{Class, Phase, Traffic};

/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(1);

/// Latency of a message between two processes.
const LATENCY: Duration = Duration::from_millis(2);

/// Time between two attempts to place a request.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(25);

/// Time within which a choice of engines becomes known to all instances.
const CLAIM_DELAY: Duration = Duration::from_millis(10);

/// Time after which the caller of a refused request returns.
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: u32 = 2;

/// The engines of a placement.
fn targets(placement: &Placement) -> impl Iterator<Item = u32> + '_ {
    let helpers = placement.helpers.iter().map(|helper| helper.target.key());
    helpers.chain([placement.primary.key()])
}

/// A caller and what became of its request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) arrival: Duration,
    pub(crate) class: Class,
    /// Time from the arrival to the first event.
    pub(crate) first_event: Option<Duration>,
    pub(crate) prompt: u32,
}

/// A request of a caller at an instance.
struct Attempt {
    arrival: Duration,
    caller: usize,
    instance: usize,
    number: u32,
    stage: Stage,
}

enum Stage {
    /// Waits for a placement; the next choice is due at this time.
    Waiting(Duration),
    /// A placement was chosen and is sent at this time.
    Claimed(Duration, u64, Placement),
    /// Parts are prefilled.
    Prefill(u64, Placement),
    /// The answer is written at the primary engine; the time is what that takes beside no prefill.
    Decode(Duration, u64, usize),
    Over,
}

pub(crate) struct Simulation {
    attempts: Vec<Attempt>,
    callers: Vec<Caller>,
    engines: Vec<Engine>,
    heartbeats: Vec<(Duration, usize, Heartbeat)>,
    /// Instances that send a heartbeat at once.
    news: Vec<usize>,
    processors: Vec<Processor>,
    profile: Profile,
    random: fastrand::Rng,
    sequence: u64,
    views: Vec<View>,
}

impl Simulation {
    /// Plays the traffic; returns the callers in the order of their arrival.
    pub(crate) fn run(traffic: &Traffic) -> Vec<Caller> {
        let mut simulation = Simulation {
            attempts: Vec::new(),
            callers: Vec::new(),
            engines: engines(traffic.engines),
            heartbeats: Vec::new(),
            news: Vec::new(),
            processors: vec![Processor::default(); traffic.engines],
            profile: Profile {
                slots: traffic.slots,
                ..profile()
            },
            random: fastrand::Rng::with_seed(traffic.seed),
            sequence: 0,
            views: vec![View::default(); traffic.instances],
        };
        let last = traffic.phases.last().map(|phase| phase.until);
        let end = last.unwrap_or_default() + Class::Export.deadline();
        let mut now = Duration::ZERO;
        while now < end {
            simulation.admit(traffic, now);
            simulation.step(now);
            now += STEP;
        }
        simulation.callers
    }

    /// Adds the callers that arrive at `now`.
    fn admit(&mut self, traffic: &Traffic, now: Duration) {
        for class in traffic.arrivals(now) {
            let prompt = class.prompt(&mut self.random);
            self.callers.push(Caller {
                arrival: now,
                class,
                first_event: None,
                prompt,
            });
            let caller = self.callers.len() - 1;
            self.attempt(caller, 1, now);
        }
    }

    /// Adds a request of a caller at any instance.
    fn attempt(&mut self, caller: usize, number: u32, at: Duration) {
        self.attempts.push(Attempt {
            arrival: at,
            caller,
            instance: self.random.usize(..self.views.len()),
            number,
            stage: Stage::Waiting(at),
        });
    }

    fn step(&mut self, now: Duration) {
        self.exchange(now);
        for processor in &mut self.processors {
            processor.work(STEP);
        }
        for at in 0..self.attempts.len() {
            self.advance(at, now);
        }
        self.attempts
            .retain(|attempt| !matches!(attempt.stage, Stage::Over));
    }

    /// Delivers and sends heartbeats.
    fn exchange(&mut self, now: Duration) {
        for (_, from, heartbeat) in self.heartbeats.iter().filter(|(due, ..)| *due == now) {
            let others = self.views.iter_mut().enumerate();
            for (_, view) in others.filter(|(number, _)| number != from) {
                view.receive(heartbeat, now);
            }
        }
        self.heartbeats.retain(|(due, ..)| *due > now);
        let interval = ms(40 + 2 * self.views.len() as u64).as_millis();
        for (number, view) in self.views.iter_mut().enumerate() {
            let is_due = (now.as_millis() + number as u128 * 5).is_multiple_of(interval);
            if !is_due && !self.news.contains(&number) {
                continue;
            }
            view.expire(now);
            self.sequence += 1;
            let heartbeat = Heartbeat {
                incarnation: 1,
                instance: format!("instance-{number:03}"),
                prefills: view.prefills(now),
                rows: view.rows(),
                sequence: self.sequence,
                ..Heartbeat::default()
            };
            self.heartbeats.push((now + LATENCY, number, heartbeat));
        }
        self.news.clear();
    }

    fn advance(&mut self, at: usize, now: Duration) {
        match &self.attempts[at].stage {
            Stage::Waiting(due) if *due <= now => self.choose(at, now),
            Stage::Claimed(due, ..) if *due <= now => self.send(at, now),
            Stage::Prefill(number, placement) => {
                let request = (self.attempts[at].instance, *number);
                let is_done =
                    targets(placement).all(|key| !self.processors[self.engine(key)].has(request));
                if is_done {
                    self.answer(at, now);
                }
            }
            Stage::Decode(left, number, engine) => {
                let (left, number, engine) = (*left, *number, *engine);
                let left =
                    left.saturating_sub(self.processors[engine].decoded(STEP, &self.profile));
                if left.is_zero() {
                    self.views[self.attempts[at].instance].finish(number);
                    self.attempts[at].stage = Stage::Over;
                } else {
                    self.attempts[at].stage = Stage::Decode(left, number, engine);
                }
            }
            Stage::Waiting(_) | Stage::Claimed(..) | Stage::Over => {}
        }
    }

    fn engine(&self, key: u32) -> usize {
        let found = self.engines.binary_search_by_key(&key, |engine| engine.key);
        found.expect("a known engine")
    }

    /// The engines with their load as the instance knows it.
    fn known_engines(&self, instance: usize, now: Duration) -> Vec<Engine> {
        let loads = self.views[instance].loads(now);
        let mut engines = self.engines.clone();
        for engine in &mut engines {
            let found = loads.binary_search_by_key(&engine.key, |(key, _)| *key);
            engine.load = found.map_or(Load::default(), |at| loads[at].1);
        }
        engines
    }

    fn requirements(&self, at: usize, engines: &[Engine], now: Duration) -> Requirements {
        let attempt = &self.attempts[at];
        let caller = &self.callers[attempt.caller];
        let short = engines.iter().map(|engine| engine.load.short).sum();
        let interval = ms(40 + 2 * self.views.len() as u64);
        Requirements {
            deadline: (caller.arrival + caller.class.deadline()).saturating_sub(now),
            gap: caller.class.gap(),
            objective: (attempt.arrival + caller.class.objective()).saturating_sub(now),
            prompt: caller.prompt,
            tokens: caller.prompt + 700,
            unseen: unseen_requests(short, interval),
        }
    }

    fn choose(&mut self, at: usize, now: Duration) {
        let (instance, arrival) = (self.attempts[at].instance, self.attempts[at].arrival);
        let engines = self.known_engines(instance, now);
        let requirements = self.requirements(at, &engines, now);
        let class = self.callers[self.attempts[at].caller].class;
        let seed = self.random.u64(..);
        match place(&requirements, &self.profile, &engines, seed) {
            Choice::Place(placement) => self.claim(at, placement, now),
            Choice::Wait if now < arrival + class.objective() => {
                self.attempts[at].stage = Stage::Waiting(now + ATTEMPT_INTERVAL);
            }
            Choice::Wait | Choice::Refuse => {
                self.refuse(at, now);
            }
        }
    }

    /// Refuses a request; its caller returns to any instance.
    fn refuse(&mut self, at: usize, now: Duration) {
        let attempt = &mut self.attempts[at];
        attempt.stage = Stage::Over;
        let (caller, number) = (attempt.caller, attempt.number);
        if number < MAX_ATTEMPTS {
            self.attempt(caller, number + 1, now + RETRY_AFTER);
        }
    }

    fn claim(&mut self, at: usize, placement: Placement, now: Duration) {
        let instance = self.attempts[at].instance;
        let helpers = placement.helpers.iter();
        let number = self.views[instance].start(Work {
            background: placement.background,
            gap: self.callers[self.attempts[at].caller].class.gap(),
            helpers: helpers
                .map(|helper| (helper.target.key(), helper.reserved))
                .collect(),
            part_time: placement.part_time,
            primary: placement.primary.key(),
            rank: self.random.u32(..),
            short: placement.short,
            start: now,
            tokens: placement.primary_tokens,
        });
        let delay = match placement.short {
            true => Duration::ZERO,
            false => {
                self.news.push(instance);
                CLAIM_DELAY
            }
        };
        self.attempts[at].stage = Stage::Claimed(now + delay, number, placement);
    }

    fn send(&mut self, at: usize, now: Duration) {
        let instance = self.attempts[at].instance;
        let stage = std::mem::replace(&mut self.attempts[at].stage, Stage::Over);
        let Stage::Claimed(_, number, placement) = stage else {
            return;
        };
        if !placement.short && self.views[instance].gives_way(number, CLAIM_DELAY) {
            self.views[instance].finish(number);
            self.news.push(instance);
            self.attempts[at].stage = Stage::Waiting(now + ATTEMPT_INTERVAL);
            return;
        }
        let (part_time, prompt) = (
            placement.part_time,
            self.callers[self.attempts[at].caller].prompt,
        );
        for key in targets(&placement) {
            let engine = self.engine(key);
            self.processors[engine].add((instance, number), part_time, prompt, &self.profile);
        }
        self.attempts[at].stage = Stage::Prefill(number, placement);
    }

    /// The prompt is prefilled: the first event arrives.
    fn answer(&mut self, at: usize, now: Duration) {
        let Stage::Prefill(number, placement) = &self.attempts[at].stage else {
            return;
        };
        let (number, engine) = (*number, self.engine(placement.primary.key()));
        let attempt = &mut self.attempts[at];
        let caller = &mut self.callers[attempt.caller];
        let time = now - caller.arrival;
        if time < caller.class.deadline() {
            caller.first_event = Some(time);
        }
        self.views[attempt.instance].finish_prefill(number);
        attempt.stage = Stage::Decode(caller.class.decode_time(), number, engine);
    }
}
