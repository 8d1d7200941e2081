//! Plays requests of a fleet on the hedge decisions of its instances: each has its own times and budgets, and gets the
//! samples of the others with their heartbeats.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use fastrand::Rng;
use jujubehook::entry::hedge::{
    decide, hedge_at, slow_quantile, Hedging, Reason, RouteKey, Situation,
};
use jujubehook::entry::{Budgets, Settings};

use crate::entry_fixtures::ms;

const SERVICE: &str = "s";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time from a heartbeat of an instance to its next one: 40 ms and 2 ms for each instance.
fn interval(instances: usize) -> Duration {
    ms(40 + 2 * instances as u64)
}

/// Length of a stall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Stall {
    /// Exponentially distributed with this mean.
    Exponential(Duration),
    Fixed(Duration),
    #[default]
    None,
}

impl Stall {
    fn length(self, rng: &mut Rng) -> Duration {
        match self {
            Stall::Exponential(mean) => mean.mul_f64(exponential(rng)),
            Stall::Fixed(length) => length,
            Stall::None => Duration::ZERO,
        }
    }
}

/// Requests of a route, and how its targets respond.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    /// Time in which all targets are ten times as slow.
    pub(crate) all_slow: Option<[Duration; 2]>,
    /// Time in which there are ten times as many requests.
    pub(crate) burst: Option<[Duration; 2]>,
    pub(crate) objective: Duration,
    pub(crate) per_s: f64,
    /// Factor by which the first target is slower than the others; 0 and 1 for none.
    pub(crate) slowdown: u32,
    /// How the first target stalls at every tenth request.
    pub(crate) stall: Stall,
    pub(crate) targets: usize,
    /// Bounds of the usual response times, which are distributed evenly.
    pub(crate) usual: [Duration; 2],
}

impl Traffic {
    fn pause(&self, now: Duration, rng: &mut Rng) -> Duration {
        let factor = if is_within(self.burst, now) {
            10.0
        } else {
            1.0
        };
        Duration::from_secs_f64(exponential(rng) / (self.per_s * factor))
    }

    fn response_time(&self, target: usize, now: Duration, rng: &mut Rng) -> Duration {
        let [low, high] = self.usual;
        let mut time = low + (high - low).mul_f64(rng.f64());
        if target == 0 {
            time *= self.slowdown.max(1);
            if rng.u32(..10) == 0 {
                time += self.stall.length(rng);
            }
        }
        if is_within(self.all_slow, now) {
            time *= 10;
        }
        time
    }
}

fn is_within(span: Option<[Duration; 2]>, now: Duration) -> bool {
    span.is_some_and(|[start, end]| (start..end).contains(&now))
}

/// An exponentially distributed number with the mean 1.
fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// What became of the requests of a route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sent: usize,
    /// Response times with hedges.
    pub(crate) times: Vec<Duration>,
    /// Response times of the first sends.
    unhedged: Vec<Duration>,
    withheld_budget: usize,
    withheld_retry_budget: usize,
}

impl Outcome {
    pub(crate) fn add(&mut self, other: Outcome) {
        self.sent += other.sent;
        self.times.extend(other.times);
        self.unhedged.extend(other.unhedged);
        self.withheld_budget += other.withheld_budget;
        self.withheld_retry_budget += other.withheld_retry_budget;
    }

    pub(crate) fn sort(&mut self) {
        self.times.sort_unstable();
        self.unhedged.sort_unstable();
    }

    pub(crate) fn slowest_with(&self) -> Duration {
        slowest(&self.times)
    }

    pub(crate) fn slowest_without(&self) -> Duration {
        slowest(&self.unhedged)
    }

    /// Hedges as a share of the requests.
    pub(crate) fn share_sent(&self) -> f64 {
        self.sent as f64 / self.times.len() as f64
    }

    /// Share of the requests that have to be hedged at least to halve the time of the slowest hundredth: all that take
    /// longer than half of it, except for a hundredth.
    pub(crate) fn share_needed(&self) -> f64 {
        let half = self.slowest_without() / 2;
        let longer = self.unhedged.iter().filter(|time| **time > half).count();
        longer as f64 / self.unhedged.len() as f64 - 0.01
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "slowest hundredth {:?} with and {:?} without hedges; {} requests, {} hedged ({:.2} %, {:.2} % needed), \
             withheld: {} budget, {} retry budget",
            self.slowest_with(),
            self.slowest_without(),
            self.times.len(),
            self.sent,
            self.share_sent() * 100.0,
            self.share_needed() * 100.0,
            self.withheld_budget,
            self.withheld_retry_budget
        )
    }
}

/// Time that all but a hundredth of the sorted times do not exceed.
fn slowest(times: &[Duration]) -> Duration {
    times[(times.len() * 99).div_ceil(100) - 1]
}

/// Instances that serve routes of one service.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) duration: Duration,
    pub(crate) instances: usize,
    pub(crate) quantile: f64,
    pub(crate) ratio: f64,
    /// Time at which all instances restart.
    pub(crate) restart_at: Option<Duration>,
    pub(crate) traffic: Vec<Traffic>,
}

impl Fleet {
    /// Outcomes of the routes.
    pub(crate) fn play(&self, seed: u64) -> Vec<Outcome> {
        Play::new(self, seed).run()
    }
}

enum Event {
    Arrive(usize),
    Beat(usize),
    End(Call, Duration),
    Restart,
    Slow(Call),
}

/// A request with one open send.
#[derive(Clone, Copy)]
struct Call {
    arrival: Duration,
    first: Duration,
    instance: usize,
    route: usize,
    target: usize,
}

struct Member {
    budgets: Budgets,
    hedging: Hedging,
}

impl Member {
    fn new() -> Member {
        let settings = Settings::default();
        let (ratio, slack) = (settings.budget_ratio, settings.budget_slack);
        Member {
            budgets: Budgets::new(ratio, slack, settings.budget_window),
            hedging: Hedging::default(),
        }
    }
}

struct Play<'a> {
    /// By time and number.
    events: BTreeMap<(Duration, u64), Event>,
    fleet: &'a Fleet,
    members: Vec<Member>,
    number: u64,
    outcomes: Vec<Outcome>,
    rng: Rng,
}

impl<'a> Play<'a> {
    fn new(fleet: &'a Fleet, seed: u64) -> Play<'a> {
        let mut play = Play {
            events: BTreeMap::new(),
            fleet,
            members: (0..fleet.instances).map(|_| Member::new()).collect(),
            number: 0,
            outcomes: vec![Outcome::default(); fleet.traffic.len()],
            rng: Rng::with_seed(seed),
        };
        (0..fleet.traffic.len()).for_each(|route| play.add(Duration::ZERO, Event::Arrive(route)));
        for instance in 0..fleet.instances {
            let at = interval(fleet.instances).mul_f64(play.rng.f64());
            play.add(at, Event::Beat(instance));
        }
        if let Some(at) = fleet.restart_at {
            play.add(at, Event::Restart);
        }
        play
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn run(mut self) -> Vec<Outcome> {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= self.fleet.duration {
                break;
            }
            match event {
                Event::Arrive(route) => self.arrive(route, now),
                Event::Beat(instance) => self.beat(instance, now),
                Event::End(call, time) => self.end(call, time, now),
                Event::Restart => self.members.fill_with(Member::new),
                Event::Slow(call) => self.hedge(call, now),
            }
        }
        self.outcomes
    }

    fn arrive(&mut self, route: usize, now: Duration) {
        let traffic = &self.fleet.traffic[route];
        let pause = traffic.pause(now, &mut self.rng);
        let target = self.rng.usize(..traffic.targets);
        let call = Call {
            arrival: now,
            first: traffic.response_time(target, now, &mut self.rng),
            instance: self.rng.usize(..self.fleet.instances),
            route,
            target,
        };
        self.add(now + pause, Event::Arrive(route));
        let member = &mut self.members[call.instance];
        member.budgets.count_request(SERVICE, now);
        let hedging = &mut member.hedging;
        hedging.budget.count_request(SERVICE, self.fleet.ratio);
        let quantile = slow_quantile(self.fleet.quantile, self.fleet.ratio);
        let slow = hedging.times.quantile(key(route), quantile, now);
        let slow_at = slow.map(|slow| hedge_at(now, traffic.objective, now, slow));
        match slow_at.filter(|at| *at < now + call.first) {
            Some(at) => self.add(at, Event::Slow(call)),
            None => self.add(now + call.first, Event::End(call, call.first)),
        }
    }

    /// Hedges a slow request if its instance may.
    fn hedge(&mut self, call: Call, now: Duration) {
        let Fleet { instances, .. } = *self.fleet;
        let traffic = &self.fleet.traffic[call.route];
        let Member { budgets, hedging } = &mut self.members[call.instance];
        let decision = decide(&Situation {
            has_budget: hedging.budget.has_room(SERVICE),
            has_retry_budget: budgets.is_half_free(SERVICE, instances, now),
            has_target: true,
            is_trial: false,
            max_attempts: 2,
            open: 1,
            sends: 1,
            time_left: TIMEOUT,
        });
        let outcome = &mut self.outcomes[call.route];
        let mut time = call.first;
        match decision {
            Ok(()) => {
                assert!(budgets.spend(SERVICE, instances, now) && hedging.budget.spend(SERVICE));
                outcome.sent += 1;
                let target = (call.target + self.rng.usize(1..traffic.targets)) % traffic.targets;
                let second = traffic.response_time(target, now, &mut self.rng);
                time = time.min(now - call.arrival + second);
            }
            Err(Reason::Budget) => outcome.withheld_budget += 1,
            Err(_) => outcome.withheld_retry_budget += 1,
        }
        self.add(call.arrival + time, Event::End(call, time));
    }

    fn end(&mut self, call: Call, time: Duration, now: Duration) {
        let outcome = &mut self.outcomes[call.route];
        outcome.times.push(time);
        outcome.unhedged.push(call.first);
        let hedging = &mut self.members[call.instance].hedging;
        hedging.measure(key(call.route), time, TIMEOUT, now);
    }

    /// Sends the samples of an instance to the others.
    fn beat(&mut self, instance: usize, now: Duration) {
        for sample in self.members[instance].hedging.outbox.take() {
            for (number, member) in self.members.iter_mut().enumerate() {
                if number != instance {
                    member.hedging.times.record(sample, now);
                }
            }
        }
        let next = now + interval(self.fleet.instances);
        self.add(next, Event::Beat(instance));
    }
}

fn key(route: usize) -> RouteKey {
    route as RouteKey
}
