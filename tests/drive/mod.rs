//! Items, and engines in virtual time that each prefill one piece after another, to completion.
#![allow(dead_code, unreachable_pub)] // each test file uses a part of the helpers

use std::collections::VecDeque;
use std::time::Duration;

use jujubehook::route::{Affinity, Ask, Candidate, Policy};
use jujubehook::target::{Class, Dispatch, Item, Scheduler, Settings};

pub const T0: Duration = Duration::ZERO;

pub fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn item(request: u64, prompt: u64, deadline: f64) -> Item {
    Item {
        held: false,
        deadline: at(deadline),
        max_tokens: 10,
        prefix: Vec::new(),
        prompt,
        request,
        weight: 1,
        workspace: "w".into(),
    }
}

/// A scheduler whose cold limit does not matter.
pub fn warm(mut settings: Settings) -> Scheduler {
    settings.cold_limit = settings.limit;
    settings.cold_slowdown = 1.0;
    Scheduler::new(settings, T0)
}

/// Completes requests without delay.
pub fn complete(scheduler: &mut Scheduler, requests: &[u64]) {
    for request in requests {
        scheduler.first_token(*request, T0);
        scheduler.finish(*request, true, T0);
    }
}

/// Offers `(request, prompt, deadline in s)`.
pub fn offer(scheduler: &mut Scheduler, items: &[(u64, u64, f64)]) {
    for (request, prompt, deadline) in items {
        scheduler
            .offer(item(*request, *prompt, *deadline), T0)
            .unwrap();
    }
}

/// Takes all requests that go out at `now`.
pub fn sent(scheduler: &mut Scheduler, now: Duration) -> Vec<u64> {
    let next = || scheduler.next(now).map(|dispatch| dispatch.request);
    std::iter::from_fn(next).collect()
}

/// What happened to a request: its first token and its end, or neither if it was refused or expired.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub first: Option<Duration>,
    pub item: Item,
    pub offered: Duration,
    pub end: Option<Duration>,
}

enum Event {
    Arrive(Item),
    End(u64),
    Prefilled(Dispatch),
}

struct Engine {
    busy: bool,
    queue: VecDeque<Dispatch>,
    scheduler: Scheduler,
}

/// Runs the arrivals to their end on `engines` engines with the rates of `settings`.
pub fn run(settings: &Settings, engines: usize, arrivals: &[(Duration, Item)]) -> Vec<Outcome> {
    let mut policy = Affinity::new(settings.packing);
    let mut outcomes: Vec<Outcome> = Vec::new();
    let engine = |_| Engine {
        busy: false,
        queue: VecDeque::new(),
        scheduler: warm(settings.clone()),
    };
    let mut engines: Vec<Engine> = (0..engines).map(engine).collect();
    let arrival = |(time, item): &(Duration, Item)| (*time, 0, Event::Arrive(item.clone()));
    let mut events: Vec<_> = arrivals.iter().map(arrival).collect();
    while let Some(next) = (0..events.len()).min_by_key(|index| events[*index].0) {
        let (now, mut index, event) = events.swap_remove(next);
        if let Event::Arrive(item) = &event {
            index = choose(&mut policy, &engines, item, now);
        }
        let engine = &mut engines[index];
        let scheduler = &mut engine.scheduler;
        scheduler.expire(now);
        match event {
            Event::Arrive(item) => {
                let _ = scheduler.offer(item.clone(), now);
                outcomes.push(Outcome {
                    first: None,
                    item,
                    offered: now,
                    end: None,
                });
            }
            Event::End(request) => {
                scheduler.finish(request, true, now);
                find(&mut outcomes, request).end = Some(now);
            }
            Event::Prefilled(dispatch) if dispatch.last => {
                engine.busy = false;
                scheduler.first_token(dispatch.request, now);
                let outcome = find(&mut outcomes, dispatch.request);
                outcome.first = Some(now);
                let decode = outcome.item.max_tokens as f64 / settings.decode_rate as f64;
                events.push((now + at(decode), index, Event::End(dispatch.request)));
            }
            Event::Prefilled(dispatch) => {
                engine.busy = false;
                scheduler.chunk_done(dispatch.request, now);
            }
        }
        let next = std::iter::from_fn(|| scheduler.next(now));
        engine.queue.extend(next);
        if engine.busy {
            continue;
        }
        if let Some(dispatch) = engine.queue.pop_front() {
            engine.busy = true;
            let time = (dispatch.to - dispatch.from) as f64 / settings.prefill_rate as f64;
            events.push((now + at(time), index, Event::Prefilled(dispatch)));
        }
    }
    outcomes
}

fn choose(policy: &mut Affinity, engines: &[Engine], item: &Item, now: Duration) -> usize {
    let candidate = |(index, engine): (usize, &Engine)| Candidate {
        domain: "d".into(),
        ejected: false,
        load: Some(engine.scheduler.load(now)),
        memory: u64::MAX,
        target: format!("t{index}"),
    };
    let candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
    let ask = Ask {
        class: Class::of(item.prompt),
        domain: "d".into(),
        max_tokens: item.max_tokens,
        prefix: Vec::new(),
        prompt: item.prompt,
        tried: Vec::new(),
    };
    policy.choose(&ask, &candidates, now).expect("a target")
}

fn find(outcomes: &mut [Outcome], request: u64) -> &mut Outcome {
    let mut outcomes = outcomes.iter_mut();
    let found = outcomes.find(|outcome| outcome.item.request == request);
    found.expect("known request")
}
