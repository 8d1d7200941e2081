//! Guards against hedged requests that run more often than the limit, that deliver an error instead of a sound answer, or
//! that stay at their targets after the caller has an answer. Runs the whole core without a socket.

mod entry_core;
mod entry_fixtures;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry_fixtures::{ms, profile};
use futures_lite::future::or;
use http::{HeaderMap, StatusCode};
use jujubehook::entry::hedge::{
    are_possible, decide, hedge_at, route_key, slow_quantile, Budget, Hedging, Outbox, Reason,
    Sample, Situation, Times, MAX_RATIO, MAX_SAMPLES, MAX_TOKENS, MIN_SAMPLES, OBJECTIVE_DIVISOR,
    START_TOKENS,
};
use jujubehook::entry::platform::{
    Body, Call, Failure, LocalBoxFuture, Notice, Ordered, Presence, Reply, Targets,
};
use jujubehook::entry::{
    Answer, Budgets, Content, Heartbeat, Hedge, Instance, Prompt, Request, Settings,
};
use jujubehook::entry::{Row, Target};
use smol::{LocalExecutor, Timer};

/// Time of a fast answer, of a usual one and of a slow one.
const FAST: Duration = Duration::from_millis(2);
const USUAL: Duration = Duration::from_millis(15);
const SLOW: Duration = Duration::from_millis(400);

/// Hedges as a share of the requests.
const RATIO: f64 = 0.1;

/// What a target does with a request: the time of its answer, and the answer.
type Plan = (Duration, Result<u16, Failure>);

/// Chooses a plan for a target and the number of a send of its request.
type Planner = dyn Fn(&str, usize) -> Plan;

/// Targets that follow a plan, which depends on the target and the number of the send of its request.
struct Fleet {
    open: Cell<usize>,
    plan: RefCell<Box<Planner>>,
    sends: RefCell<Vec<(String, String)>>,
}

impl Fleet {
    fn new() -> Rc<Fleet> {
        Rc::new(Fleet {
            open: Cell::new(0),
            plan: RefCell::new(Box::new(|_, _| (FAST, Ok(200)))),
            sends: RefCell::default(),
        })
    }

    fn set(&self, plan: impl Fn(&str, usize) -> Plan + 'static) {
        *self.plan.borrow_mut() = Box::new(plan);
    }

    /// Number of sends of a request.
    fn sends_of(&self, id: &str) -> usize {
        let sends = self.sends.borrow();
        sends.iter().filter(|(request, _)| request == id).count()
    }
}

/// A send in progress at a target.
struct Open(Rc<Fleet>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

struct Whole(Option<Bytes>);

impl Body for Whole {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes, Failure>>> {
        let bytes = self.0.take();
        Box::pin(async { bytes.map(Ok) })
    }
}

struct Client(Rc<Fleet>);

impl Targets for Client {
    fn discard(&self, _: SocketAddr) {}

    fn presence<'a>(&'a self, _: &'a Target) -> LocalBoxFuture<'a, Presence> {
        Box::pin(async { Presence::Running })
    }

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn release<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Ordered> {
        Box::pin(async { Ordered::default() })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        _: &'a str,
        _: u32,
        _: Duration,
    ) -> LocalBoxFuture<'a, Ordered> {
        Box::pin(async { Ordered::default() })
    }

    fn uses_memory<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Option<bool>> {
        Box::pin(async { Some(true) })
    }

    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        let fleet = self.0.clone();
        let (id, target) = (call.request.id.clone(), call.target.id.clone());
        fleet.sends.borrow_mut().push((id.clone(), target.clone()));
        let (time, answer) = fleet.plan.borrow()(&target, fleet.sends_of(&id));
        fleet.open.set(fleet.open.get() + 1);
        let open = Open(fleet);
        Box::pin(async move {
            let _open = open;
            Timer::after(time).await;
            Ok(Reply {
                body: Box::new(Whole(Some(Bytes::from(target)))),
                event_fields: &[],
                fault: None,
                framed: true,
                headers: HeaderMap::new(),
                not_run: false,
                notice: Notice::default(),
                requests: vec![id],
                signed: true,
                status: StatusCode::from_u16(answer?).expect("a status"),
            })
        })
    }
}

/// An instance in front of 20 targets that has measured enough fast answers.
struct World {
    executor: Rc<LocalExecutor<'static>>,
    fleet: Rc<Fleet>,
    instance: Rc<Instance>,
}

impl World {
    fn new(settings: Settings) -> World {
        let fleet = Fleet::new();
        let ids = (0..20).map(|number| format!("i-{number}"));
        let client = Rc::new(Client(fleet.clone()));
        let (instance, executor) = entry_core::start_with(settings, profile(), ids, client);
        let world = World {
            executor,
            fleet,
            instance,
        };
        // The quantile is far above the fast answers then, so that none of them is hedged by chance.
        world.fleet.set(|_, _| (USUAL, Ok(200)));
        for number in 0..3 * MIN_SAMPLES {
            if number == 2 * MIN_SAMPLES {
                world.fleet.set(|_, _| (FAST, Ok(200)));
            }
            world.ask(&format!("warm-{number}"));
        }
        world
    }

    fn hedging(ratio: f64) -> World {
        World::new(Settings {
            hedge: Some(Hedge {
                quantile: 0.9,
                ratio,
            }),
            ..Settings::default()
        })
    }

    /// Serves one request; returns its status, or none if it was refused, and its time.
    fn ask(&self, id: &str) -> (Option<u16>, Duration) {
        let (fleet, instance) = (self.fleet.clone(), self.instance.clone());
        let served = async {
            let asked = Instant::now();
            let status = status(&instance.serve(request(id)).await);
            assert_eq!(fleet.open.get(), 0, "a send goes on after the answer");
            (status, asked.elapsed())
        };
        smol::block_on(self.executor.run(served))
    }

    fn hedges(&self, outcome: &str) -> u64 {
        let page = String::from_utf8(self.instance.metrics.text()).unwrap();
        let start = format!("jujubehook_entry_hedges_total{{outcome=\"{outcome}\"}} ");
        let mut values = page.lines().filter_map(|line| line.strip_prefix(&start));
        values.next().map_or(0, |value| value.parse().unwrap())
    }
}

fn request(id: &str) -> Request {
    Request {
        host: "h".into(),
        id: id.into(),
        path: "/safe/".into(),
        prompt: Some(Prompt {
            max_tokens: 10,
            tokens: 500,
        }),
        ..Request::default()
    }
}

fn status(answer: &Answer) -> Option<u16> {
    match answer {
        Answer::Reply {
            content: Content::Buffered(_),
            status,
            ..
        } => Some(status.as_u16()),
        Answer::Reply { .. } | Answer::Refusal { .. } => None,
    }
}

/// Of many targets one is slow, which gets every twentieth request. Without hedges, each of these is late.
#[test]
fn one_slow_target() {
    let world = World::hedging(MAX_RATIO);
    let (mut late, mut slow) = (0, 0);
    for number in 0..300 {
        let is_slow = number % 20 == 0;
        world.fleet.set(move |_, send| match is_slow && send == 1 {
            true => (SLOW, Ok(200)),
            false => (FAST, Ok(200)),
        });
        let (status, took) = world.ask(&format!("r-{number}"));
        assert_eq!(status, Some(200));
        late += usize::from(took >= SLOW);
        slow += usize::from(is_slow);
    }
    assert!(late * 2 < slow, "{late} late of {slow}");
    assert!(world.hedges("sent") as f64 <= MAX_RATIO * 360.0);
}

/// Requests whose second send wins must not lower the quantile, because that would cause more of them.
#[test]
fn quantile_stays() {
    let world = World::hedging(MAX_RATIO);
    for number in 0..400 {
        let is_slow = number % 10 == 0;
        world.fleet.set(move |_, send| match is_slow && send == 1 {
            true => (SLOW, Ok(200)),
            false => (FAST, Ok(200)),
        });
        world.ask(&format!("r-{number}"));
    }
    let won = world.hedges("won");
    assert!(won > 30, "{won} second sends won");
    let time = world.instance.hedge_time("safe");
    assert!(time.is_some_and(|time| time >= USUAL), "{time:?}");
}

/// All targets turn slow. Hedges are useless then, and must stay within their share.
#[test]
fn all_are_slow() {
    let world = World::hedging(RATIO);
    world.fleet.set(|_, _| (ms(60), Ok(200)));
    let (before, hedges) = (world.fleet.sends.borrow().len(), world.hedges("sent"));
    for number in 0..100 {
        let id = format!("r-{number}");
        assert_eq!(world.ask(&id).0, Some(200));
        assert!(world.fleet.sends_of(&id) <= 2);
    }
    let extra = world.fleet.sends.borrow().len() - before - 100;
    assert!((1..=12).contains(&extra), "{extra} additional sends");
    // A hedge whose first send ends at the same moment is charged, but does not reach its target.
    let sent = world.hedges("sent") - hedges;
    assert!(sent >= extra as u64 && sent <= 12, "{sent} hedges");
}

/// Without the setting, nothing is sent twice.
#[test]
fn off_by_default() {
    let world = World::new(Settings::default());
    world.fleet.set(|_, _| (SLOW, Ok(200)));
    world.ask("r");
    assert_eq!(world.fleet.sends_of("r"), 1);
}

/// A request that is slow with a retry budget that is used up is not hedged; the reason is counted.
#[test]
fn no_retry_budget() {
    let world = World::new(Settings {
        budget_ratio: 0.0,
        budget_slack: 0.0,
        hedge: Some(Hedge {
            quantile: 0.9,
            ratio: RATIO,
        }),
        ..Settings::default()
    });
    world.fleet.set(|_, _| (SLOW, Ok(200)));
    assert_eq!(world.ask("r").0, Some(200));
    assert_eq!(world.fleet.sends_of("r"), 1);
    assert!(world.hedges("withheld_retry_budget") > 0);
}

/// Answers of the first and of the second send, each with its time in milliseconds, and what the caller gets.
#[test]
fn answers_of_both() {
    let broken = Err(Failure::Broken);
    let late = 200;
    for (first, second, expected, outcome) in [
        ((late, Ok(500)), (2 * late, Ok(200)), 200, "won"),
        ((2 * late, Ok(200)), (2, Ok(500)), 200, "lost"),
        ((late, Ok(500)), (late, Ok(500)), 500, "unanswered"),
        ((late, broken), (2 * late, Ok(200)), 200, "won"),
        ((late, Ok(200)), (2, broken), 200, "lost"),
        ((late, Ok(200)), (2, Err(Failure::Unreachable)), 200, "lost"),
        ((late, Ok(404)), (2 * late, Ok(200)), 404, "lost"),
        ((late, Ok(200)), (2 * late, Ok(200)), 200, "lost"),
        ((2 * late, Ok(200)), (2, Ok(200)), 200, "won"),
    ] {
        let world = World::hedging(RATIO);
        world.fleet.set(move |_, number| {
            let (time, answer) = if number == 1 { first } else { second };
            (ms(time), answer)
        });
        let (before, ended) = (world.hedges("sent"), world.hedges(outcome));
        let (status, took) = world.ask("r");
        let case = format!("{first:?} {second:?}: {status:?} after {took:?}");
        assert_eq!(status, Some(expected), "{case}");
        assert_eq!(world.hedges("sent"), before + 1, "{case}");
        assert_eq!(world.hedges(outcome), ended + 1, "{case}");
        assert_eq!(world.fleet.sends_of("r"), 2, "{case}");
    }
}

/// Both sends answer at the same moment: the caller gets one answer, and nothing goes on.
#[test]
fn same_moment() {
    let world = World::hedging(RATIO);
    let end = Instant::now() + ms(300);
    let plan = move |_: &str, _| (end.saturating_duration_since(Instant::now()), Ok(200));
    world.fleet.set(plan);
    assert_eq!(world.ask("r").0, Some(200));
    assert_eq!(world.fleet.sends_of("r"), 2);
    assert_eq!(
        world.hedges("won") + world.hedges("lost"),
        world.hedges("sent")
    );
}

/// A caller that disconnects ends both sends.
#[test]
fn caller_leaves() {
    let world = World::hedging(RATIO);
    world.fleet.set(|_, _| (SLOW, Ok(200)));
    let (fleet, instance) = (world.fleet.clone(), world.instance.clone());
    let served = async { assert!(status(&instance.serve(request("r")).await).is_none()) };
    let left = async {
        while fleet.open.get() < 2 {
            Timer::after(FAST).await;
        }
    };
    smol::block_on(world.executor.run(or(served, left)));
    assert_eq!(world.fleet.open.get(), 0);
}

/// Instances that were idle for long, or that see few requests each, must not exceed the share together.
#[test]
fn budget_holds() {
    let mut idle = Budget::default();
    (0..10_000).for_each(|_| idle.count_request("s", 0.02));
    let burst = (0..100).filter(|_| idle.spend("s")).count();
    assert_eq!(burst as f64, MAX_TOKENS);
    let mut instances = vec![Budget::default(); 36];
    let mut sent = 0;
    for number in 0..36 * 200 {
        let budget = &mut instances[number % 36];
        budget.count_request("s", 0.02);
        sent += usize::from(budget.spend("s"));
    }
    // Each of them hedges sometimes.
    assert!((36 * 3..=36 * 4).contains(&sent), "{sent} hedges");
    let mut invalid = Budget::default();
    for ratio in [f64::NAN, -1.0, 0.0] {
        (0..1_000).for_each(|_| invalid.count_request("s", ratio));
        assert!(!invalid.has_room("s"), "{ratio}");
    }
}

/// Load: many instances that see few requests each, of which one in 50 is slow. Most of the slow ones have to be hedged,
/// although hardly an instance earns a whole hedge. If all are slow, no instance sends more than it starts with and earns.
#[test]
fn few_requests_each() {
    let mut random = fastrand::Rng::with_seed(1);
    let (instances, requests) = (1_000, 12);
    let share = 0.02 * f64::from(instances * requests);
    for is_all_slow in [false, true] {
        let (mut sent, mut slow) = (0, 0);
        for _ in 0..instances {
            let mut budget = Budget::starting_at(START_TOKENS);
            for _ in 0..requests {
                budget.count_request("s", 0.02);
                let is_slow = is_all_slow || random.u32(..50) == 0;
                slow += usize::from(is_slow);
                sent += usize::from(is_slow && budget.spend("s"));
            }
        }
        assert!(sent as f64 <= share + f64::from(instances), "{sent} hedges");
        assert!(is_all_slow || sent * 5 >= slow * 4, "{sent} of {slow}");
    }
}

/// More requests than the budget allows must not count as slow, but an operator may hedge fewer.
#[test]
fn raised_quantile() {
    assert_eq!(slow_quantile(0.5, 0.02), 0.98);
    assert_eq!(slow_quantile(0.99, 0.02), 0.99);
    let world = World::new(Settings {
        hedge: Some(Hedge {
            quantile: 0.5,
            ratio: RATIO,
        }),
        ..Settings::default()
    });
    for number in 0..60 {
        world.ask(&format!("r-{number}"));
    }
    // A third of the measured answers took that long.
    let time = world.instance.hedge_time("safe");
    assert!(time.is_some_and(|time| time >= USUAL), "{time:?}");
}

/// The minimum delay counts from the arrival, leaves the second target half of the objective, and does not overflow.
#[test]
fn minimum_delay() {
    let objective = ms(400);
    let minimum = objective / OBJECTIVE_DIVISOR;
    let at = |sent, slow| hedge_at(ms(1_000), objective, ms(sent), ms(slow));
    assert!(minimum <= objective / 2);
    assert_eq!(at(1_000, 2), ms(1_000) + minimum);
    assert_eq!(at(1_300, 2), ms(1_302));
    assert_eq!(at(1_000, 900), ms(1_900));
    let longest = Duration::MAX;
    assert_eq!(hedge_at(longest, longest, longest, longest), longest);
}

/// A response that is slow for its route, but early for its caller, costs no hedge.
#[test]
fn slow_but_early() {
    let world = World::hedging(RATIO);
    world.fleet.set(|_, _| (USUAL + ms(5), Ok(200)));
    let before = world.hedges("sent");
    for number in 0..10 {
        world.ask(&format!("r-{number}"));
    }
    assert_eq!(world.hedges("sent"), before);
}

/// Times below a millisecond's precision must not make nearly all requests of a quick route slow.
#[test]
fn rounded_times() {
    let mut hedging = Hedging::default();
    let took = Duration::from_micros(2_400);
    (0..MIN_SAMPLES).for_each(|_| hedging.measure(1, took, ms(4_000), ms(1)));
    let slow = hedging.times.quantile(1, 0.98, ms(2));
    assert!(slow.is_some_and(|slow| slow >= took), "{slow:?}");
    // Above the longest timeout, other instances would drop the samples.
    let timeout = Duration::from_micros(4_500);
    hedging.measure(2, ms(5), timeout, ms(3));
    let samples = hedging.outbox.take();
    assert!(are_possible(&samples, timeout), "{samples:?}");
}

/// A busy route must not displace the samples of the others from a heartbeat.
#[test]
fn samples_of_all_routes() {
    let mut outbox = Outbox::default();
    outbox.push((1, 900));
    outbox.push((2, 300));
    (0..100).for_each(|ms| outbox.push((3, ms)));
    let mut expected: Vec<Sample> = vec![(1, 900), (2, 300)];
    expected.extend((94..100).map(|ms| (3, ms)));
    assert_eq!(outbox.take(), expected);
}

/// Of the retry budget, hedges use only the first half, so that failed requests can still be retried.
#[test]
fn half_of_retries() {
    let mut budgets = Budgets::new(0.2, 0.0, ms(10_000));
    (0..101).for_each(|_| budgets.count_request("s", ms(1)));
    let mut hedges = 0;
    while budgets.is_half_free("s", 1, ms(2)) {
        assert!(budgets.spend("s", 1, ms(2)));
        hedges += 1;
    }
    // Of 16.16 retries.
    assert_eq!(hedges, 9);
    assert!(budgets.has_retry("s", 1, ms(2)));
}

/// Each limit alone withholds a hedge, and names its reason.
#[test]
fn reasons() {
    let allowed = Situation {
        has_budget: true,
        has_retry_budget: true,
        has_target: true,
        is_trial: false,
        max_attempts: 2,
        open: 1,
        sends: 1,
        time_left: ms(1),
    };
    assert_eq!(decide(&allowed), Ok(()));
    let changed = |change: fn(&mut Situation)| {
        let mut situation = allowed;
        change(&mut situation);
        decide(&situation)
    };
    assert_eq!(changed(|s| s.has_budget = false), Err(Reason::Budget));
    assert_eq!(
        changed(|s| s.has_retry_budget = false),
        Err(Reason::RetryBudget)
    );
    assert_eq!(changed(|s| s.has_target = false), Err(Reason::Slots));
    assert_eq!(changed(|s| s.is_trial = true), Err(Reason::Fragment));
    assert_eq!(changed(|s| s.max_attempts = 1), Err(Reason::Attempts));
    assert_eq!(changed(|s| s.sends = 2), Err(Reason::Attempts));
    assert_eq!(changed(|s| s.open = 2), Err(Reason::Attempts));
    assert_eq!(changed(|s| s.time_left = ms(0)), Err(Reason::Time));
}

/// Times that step back or overflow, and samples of extreme size, neither panic nor count for ever.
#[test]
fn odd_times() {
    let mut times = Times::default();
    let count = MIN_SAMPLES as u32;
    (1..count).for_each(|sample| times.record((1, sample), ms(20_000)));
    assert_eq!(times.quantile(1, 0.95, ms(20_000)), None, "too few");
    times.record((1, u32::MAX), ms(0));
    let slowest = times.quantile(1, 1.0, ms(5_000)).unwrap();
    assert!(slowest <= ms(3_700_000), "{slowest:?}");
    assert_eq!(times.quantile(1, 0.5, ms(21_000)), Some(ms(10)));
    assert!(
        times.quantile(1, 0.5, ms(36_000)).is_some(),
        "in the window"
    );
    times.expire(ms(40_000));
    assert!(times.quantile(1, 0.5, ms(40_000)).is_some(), "kept");
    assert_eq!(times.quantile(1, 0.5, Duration::MAX), None);
    times.record((1, 0), Duration::MAX);
    assert_eq!(times.quantile(2, 0.5, Duration::MAX), None, "unknown");
    (0..count).for_each(|sample| times.record((3, sample), ms(20_000)));
    times.expire(ms(50_000));
    assert_eq!(times.quantile(3, 0.5, ms(20_000)), None, "removed");
}

/// Samples that no instance can have measured are recognized.
#[test]
fn impossible_samples() {
    let longest = ms(4_000);
    assert!(are_possible(&[(1, 4_000)], longest));
    assert!(!are_possible(&[(1, 5), (1, 4_001)], longest));
    assert!(!are_possible(&[(1, 3_600_001)], Duration::MAX));
    assert!(!are_possible(&[(1, 5); MAX_SAMPLES + 1], longest));
}

/// Only the newest samples are sent, each once.
#[test]
fn samples_sent_once() {
    let mut outbox = Outbox::default();
    (0..20).for_each(|ms| outbox.push((1, ms)));
    let sent: Vec<Sample> = (12..20).map(|ms| (1, ms)).collect();
    assert_eq!(outbox.take(), sent);
    assert!(outbox.take().is_empty());
}

/// Samples alone cause no heartbeat, and a heartbeat with them is read back.
#[test]
fn samples_are_no_news() {
    let heartbeat = Heartbeat {
        config: 7,
        rows: vec![Row::default()],
        samples: vec![(route_key("safe"), 12)],
        ..Heartbeat::default()
    };
    let bytes = rmp_serde::to_vec(&heartbeat).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<Heartbeat>(&bytes).unwrap(),
        heartbeat
    );
    let none = Heartbeat {
        samples: Vec::new(),
        ..heartbeat.clone()
    };
    assert!(heartbeat.repeats(&none));
}

/// The size of full samples in a heartbeat is known, since heartbeats must not grow much.
#[test]
fn sample_bytes() {
    let size = |samples: Vec<Sample>| {
        let heartbeat = Heartbeat {
            samples,
            ..Heartbeat::default()
        };
        rmp_serde::to_vec(&heartbeat).unwrap().len()
    };
    let samples = vec![(u32::MAX, 4_000); MAX_SAMPLES];
    assert_eq!(size(samples) - size(Vec::new()), 72);
}
