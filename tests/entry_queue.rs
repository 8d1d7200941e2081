//! Guards against an admission queue that lets requests wait in vain, that lets one workspace or priority hold up the
//! others, or that sends all refused callers back at the same time.

use std::time::{Duration, Instant};

use jujubehook::entry::{Admission, FreeRate, Queue, Waiting};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that arrives at `arrival` and has to start within `patience`, both in milliseconds.
fn request(number: u64, workspace: u32, arrival: u64, patience: u64) -> Waiting {
    Waiting {
        arrival: ms(arrival),
        cost: ms(200),
        latest_start: ms(arrival + patience),
        leaves: ms(arrival + patience + 5_000),
        number,
        priority: 1,
        resumes: false,
        workspace,
    }
}

/// What became of the requests of a run.
#[derive(Default)]
struct Outcome {
    served: Vec<(Waiting, Duration)>,
    refused: Vec<(u64, Duration)>,
    /// Refused after they had been queued.
    removed: Vec<(Waiting, Duration)>,
}

impl Outcome {
    fn offer(&mut self, queue: &mut Queue, waiting: Waiting, rate: f64) {
        let (number, now) = (waiting.number, waiting.arrival);
        let (admission, displaced) = queue.offer(waiting, rate, now);
        self.removed.extend(displaced);
        if let Admission::Refused { retry } = admission {
            self.refused.push((number, retry));
        }
    }

    fn served(&self, matches: impl Fn(&Waiting) -> bool) -> usize {
        let served = self.served.iter();
        served.filter(|(waiting, _)| matches(waiting)).count()
    }

    fn numbers(&self) -> Vec<u64> {
        let served = self.served.iter();
        served.map(|(waiting, _)| waiting.number).collect()
    }
}

/// Offers the requests, which are sorted by arrival, while a slot becomes free `rate` times per second, for `seconds`.
fn run(queue: &mut Queue, requests: Vec<Waiting>, rate: u64, seconds: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut requests = requests.into_iter().peekable();
    for slot in 1..=rate * seconds {
        let now = Duration::from_secs(slot) / rate as u32;
        while let Some(waiting) = requests.next_if(|waiting| waiting.arrival <= now) {
            outcome.offer(queue, waiting, rate as f64);
        }
        outcome.removed.extend(queue.expire(rate as f64, now));
        let head = queue.head().map(|head| head.number);
        let served = head.and_then(|number| queue.remove(number, true));
        outcome.served.extend(served.map(|waiting| (waiting, now)));
    }
    outcome
}

/// Load: a burst of 100 requests of one workspace, and one request each of small workspaces during it. Guards against
/// small workspaces that wait behind the backlog of a large one.
#[test]
fn burst_of_one_workspace() {
    let mut requests: Vec<Waiting> = (0..100).map(|at| request(at, 1, 0, 20_000)).collect();
    requests.extend((0..20).map(|at| request(100 + at, 2 + at as u32, 100 + at * 400, 20_000)));
    let outcome = run(&mut Queue::with_seed(256, 1), requests, 10, 13);
    assert_eq!(outcome.served.len(), 120);
    let small = outcome.served.iter().filter(|(of, _)| of.workspace > 1);
    let longest = small.map(|(of, start)| *start - of.arrival).max();
    assert!(longest <= Some(ms(300)), "{longest:?}");
}

/// Load: a workspace with requests of five times the slot time of another's, both with a backlog. Guards against shares
/// by number of requests, and against a credit for the time before the second one had requests.
#[test]
fn shares_by_slot_time() {
    let long = (0..200).map(|at| Waiting {
        cost: ms(1_000),
        ..request(at, 1, 0, 60_000)
    });
    let short = (200..400).map(|at| request(at, 2, 5_000, 60_000));
    let outcome = run(
        &mut Queue::with_seed(400, 1),
        long.chain(short).collect(),
        10,
        17,
    );
    let of = |workspace| {
        outcome
            .served
            .iter()
            .filter(move |(of, start)| of.workspace == workspace && *start >= ms(5_000))
            .count()
    };
    let (long, short) = (of(1), of(2));
    assert!((18..=22).contains(&long), "{long} and {short}");
    assert!((98..=103).contains(&short), "{long} and {short}");
}

/// Load: a request that was displaced or whose caller left. Guards against charging it to its workspace.
#[test]
fn unserved_is_not_charged() {
    let mut queue = Queue::with_seed(256, 1);
    for number in 0..4 {
        let workspace = u32::from(number >= 3);
        queue.offer(request(number, workspace, 0, 9_000), 10.0, ms(0));
    }
    assert_eq!(queue.remove(0, false).map(|of| of.number), Some(0));
    assert_eq!(queue.remove(0, false), None);
    let outcome = run(&mut queue, Vec::new(), 10, 1);
    assert_eq!(outcome.numbers(), [1, 3, 2]);
}

/// Load: two priorities that together need the whole rate. Guards against a less urgent request that starts first
/// without need, and against one that is starved although it can be served in time.
#[test]
fn two_priorities() {
    let urgent = (0..60).map(|at| Waiting {
        priority: 0,
        ..request(at, 1, at * 100, 3_000)
    });
    let less = (60..70).map(|at| request(at, 2, 0, 2_500));
    let mut requests: Vec<Waiting> = urgent.chain(less).collect();
    requests.sort_by_key(|waiting| waiting.arrival);
    let outcome = run(&mut Queue::with_seed(256, 1), requests, 10, 8);
    assert_eq!(outcome.served.len(), 70, "all can be served in time");
    assert!(outcome.served.iter().all(|(of, at)| *at <= of.latest_start));
    let first: Vec<u64> = outcome.numbers()[..10].to_vec();
    assert!(first.iter().all(|number| *number < 60), "{first:?}");
}

/// Load: urgent requests alone exceed the rate. Guards against less urgent ones that are served better than them.
#[test]
fn urgent_overload() {
    let requests = (0..300).map(|at| Waiting {
        priority: u8::from(at % 3 == 0),
        ..request(at, at as u32 % 7, at * 33, 1_000)
    });
    let outcome = run(&mut Queue::with_seed(256, 1), requests.collect(), 10, 10);
    let urgent = outcome.served(|of| of.priority == 0);
    let less = outcome.served(|of| of.priority == 1);
    assert!(urgent >= 95 && less <= 5, "{urgent} and {less}");
}

/// Load: three times the rate. Guards against requests that wait in vain or start late, and against equal retry times.
#[test]
fn overload() {
    let requests = (0..600).map(|at| request(at, at as u32 % 16, at * 1_000 / 60, 1_000));
    let outcome = run(&mut Queue::with_seed(256, 1), requests.collect(), 20, 11);
    assert!(outcome.served.iter().all(|(of, at)| *at <= of.latest_start));
    assert!(outcome.served.len() >= 200, "{}", outcome.served.len());
    assert!(
        outcome.removed.is_empty(),
        "{} refused after waiting",
        outcome.removed.len()
    );
    assert_eq!(outcome.served.len() + outcome.refused.len(), 600);
    let mut retries: Vec<u128> = outcome
        .refused
        .iter()
        .map(|(_, retry)| retry.as_millis())
        .collect();
    retries.sort_unstable();
    let (first, last) = (retries[0], retries[retries.len() - 1]);
    assert!(first >= 900 && last <= 1_600, "{first} to {last} ms");
    let tenth = retries.len() / 10;
    assert!(retries[retries.len() - tenth] - retries[tenth] >= 300);
}

/// Load: one workspace sends ten times the rate, others a tenth of it each. Guards against an overload by one workspace
/// of which the others' requests are refused.
#[test]
fn overload_by_one_workspace() {
    let large = (0..2_000).map(|at| request(at, 1, at * 5, 1_000));
    let small = (0..100).map(|at| request(2_000 + at, 2 + at as u32 % 4, at * 100, 1_000));
    let mut requests: Vec<Waiting> = large.chain(small).collect();
    requests.sort_by_key(|waiting| waiting.arrival);
    let outcome = run(&mut Queue::with_seed(256, 1), requests, 20, 11);
    assert!(outcome.served.iter().all(|(of, at)| *at <= of.latest_start));
    assert_eq!(outcome.served(|of| of.workspace > 1), 100);
    let removed = outcome.removed.len();
    assert!(removed <= 100, "{removed} were displaced by 100 others");
}

/// Load: an urgent request, and one of a small workspace, when the queue is as long as can be served. Guards against
/// their refusal, and against displacing the wrong request.
#[test]
fn displacement() {
    let mut queue = Queue::with_seed(256, 1);
    let admitted = (0..20)
        .filter(|at| queue.offer(request(*at, 1, 0, 1_000), 10.0, ms(0)).0 == Admission::Queued);
    assert_eq!(admitted.count(), 10);
    let urgent = Waiting {
        priority: 0,
        ..request(20, 1, 0, 1_000)
    };
    for (waiting, displaced) in [(urgent, 9), (request(21, 2, 0, 1_000), 8)] {
        let (admission, removed) = queue.offer(waiting, 10.0, ms(0));
        assert_eq!(admission, Admission::Queued);
        assert_eq!(removed.len(), 1);
        assert_eq!(removed[0].0.number, displaced);
        assert!((ms(1_100)..=ms(1_650)).contains(&removed[0].1));
    }
    let less = Waiting {
        priority: 2,
        ..request(22, 3, 0, 1_000)
    };
    let (admission, removed) = queue.offer(less, 10.0, ms(0));
    assert!(matches!(admission, Admission::Refused { .. }));
    assert_eq!(removed, []);
}

/// Load: more requests than the queue holds, all of which can start in time. Guards against unbounded memory.
#[test]
fn capacity() {
    let mut queue = Queue::with_seed(8, 1);
    for number in 0..8 {
        queue.offer(request(number, 1, 0, 9_000), 100.0, ms(0));
    }
    let (admission, removed) = queue.offer(request(8, 1, 0, 9_000), 100.0, ms(0));
    assert!(matches!(admission, Admission::Refused { retry } if retry >= ms(200)));
    assert_eq!(removed, []);
    let (admission, removed) = queue.offer(request(9, 2, 0, 9_000), 100.0, ms(0));
    assert_eq!((admission, removed[0].0.number), (Admission::Queued, 7));
    assert_eq!(queue.len(), 8);
    let none = Queue::with_seed(0, 1).offer(request(0, 1, 0, 9_000), 1.0, ms(0));
    assert!(matches!(none.0, Admission::Refused { .. }));
}

/// Load: no slot becomes free, or the rate is not a number. Guards against a queue of requests that cannot start, and
/// against retry times out of their range.
#[test]
fn rate_of_zero() {
    for rate in [0.0, -1.0, f64::NAN] {
        let mut queue = Queue::with_seed(256, 1);
        let (first, _) = queue.offer(request(0, 1, 0, 1_000), rate, ms(0));
        assert_eq!(first, Admission::Queued, "a slot may become free");
        let (second, _) = queue.offer(request(1, 2, 0, 1_000), rate, ms(0));
        let Admission::Refused { retry } = second else {
            panic!("nothing becomes free");
        };
        assert!((ms(4_000)..=ms(5_000)).contains(&retry), "{retry:?}");
        assert_eq!(queue.expire(rate, ms(1_000)), []);
        assert_eq!(queue.expire(rate, ms(1_001)).len(), 1);
        assert!(queue.is_empty() && queue.head().is_none());
    }
}

/// Load: times and costs at the end of their range, as a faulty message may carry them. Guards against a panic and
/// against a wrong cost that excludes its workspace for long.
#[test]
fn extreme_times() {
    let mut queue = Queue::with_seed(256, 1);
    for number in 0..20 {
        let waiting = Waiting {
            cost: Duration::MAX,
            latest_start: Duration::MAX,
            leaves: Duration::MAX,
            ..request(number, number as u32 % 2, 0, 0)
        };
        let (admission, _) = queue.offer(waiting, f64::INFINITY, Duration::ZERO);
        assert_eq!(admission, Admission::Queued);
    }
    queue.expire(f64::MAX, Duration::MAX - ms(1));
    let served = (0..20).filter_map(|_| {
        let number = queue.head()?.number;
        queue.remove(number, true)
    });
    assert_eq!(served.count(), 20);
    let mut rate = FreeRate::default();
    rate.record(u32::MAX, Duration::MAX);
    rate.record(u32::MAX, Duration::MAX);
    assert_eq!(rate.per_s(u32::MAX, Duration::MAX), f64::from(u32::MAX));
}

/// Load: streams to resume while requests wait. Guards against a stream that is refused or starts after a new request,
/// and against one that waits after its caller has left.
#[test]
fn resumed_streams() {
    let mut queue = Queue::with_seed(256, 1);
    for number in 0..10 {
        queue.offer(request(number, 1, 9_000, 1_000), 10.0, ms(9_000));
    }
    let resumed = |number, leaves| Waiting {
        leaves: ms(leaves),
        priority: 3,
        resumes: true,
        ..request(number, 1, 0, 0)
    };
    let (admission, displaced) = queue.offer(resumed(10, 9_500), 10.0, ms(9_000));
    assert_eq!((admission, displaced.len()), (Admission::Queued, 1));
    queue.offer(resumed(11, 30_000), 10.0, ms(9_000));
    assert_eq!(queue.head().map(|head| head.number), Some(10));
    let left = queue.expire(10.0, ms(9_500));
    assert!(left.iter().any(|(waiting, _)| waiting.number == 10));
    assert_eq!(queue.head().map(|head| head.number), Some(11));
    queue.expire(0.0, ms(29_999));
    assert_eq!(queue.len(), 1, "only the stream is left");
    assert_eq!(queue.expire(0.0, ms(30_000)).len(), 1);
}

/// Load: a request that arrives after its latest start while its caller still waits. Guards against its refusal when
/// nothing else waits, and against other requests that wait behind it.
#[test]
fn late_on_arrival() {
    let mut queue = Queue::with_seed(256, 1);
    let late = |number| Waiting {
        arrival: ms(2_000),
        ..request(number, 1, 0, 1_000)
    };
    assert_eq!(queue.offer(late(0), 10.0, ms(2_000)).0, Admission::Queued);
    let (admission, removed) = queue.offer(late(1), 10.0, ms(2_000));
    assert!(matches!(admission, Admission::Refused { .. }));
    assert_eq!(removed, []);
    queue.offer(request(2, 2, 2_000, 1_000), 10.0, ms(2_000));
    assert_eq!(queue.head().map(|head| head.number), Some(2));
    assert_eq!(queue.expire(10.0, ms(2_900)), []);
    queue.remove(2, true);
    assert_eq!(queue.head().map(|head| head.number), Some(0));
    let gone = queue.offer(late(3), 10.0, ms(7_000)).0;
    assert!(matches!(gone, Admission::Refused { .. }), "caller left");
}

/// Load: a start without history, then steady work, then a pause. Guards against a prediction that refuses everything
/// at a start.
#[test]
fn free_rate() {
    let mut rate = FreeRate::default();
    assert_eq!(rate.per_s(40, ms(0)), 10.0);
    for at in 0..200 {
        rate.record(1, ms(at * 10));
    }
    assert_eq!(rate.per_s(40, ms(1_990)), 100.0);
    assert_eq!(rate.per_s(40, ms(2_490)), 50.0);
    assert_eq!(rate.per_s(40, ms(9_000)), 10.0);
    assert_eq!(rate.per_s(0, ms(9_000)), 0.0);
}

/// Load: the rate falls, so that many requests are removed at once. Guards against an order of the others that differs
/// from that after single removals.
#[test]
fn many_removals() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut many = 0;
    for round in 0..40 {
        let mut queue = Queue::with_seed(256, round);
        for number in 0..200 {
            let waiting = Waiting {
                cost: ms(random.u64(1..2_000)),
                priority: random.u8(0..3),
                resumes: random.u8(..) < 20,
                ..request(number, random.u32(0..12), 0, random.u64(500..9_000))
            };
            queue.offer(waiting, 400.0, ms(0));
            if random.u8(..) < 30 {
                let head = queue.head().map(|head| head.number);
                head.and_then(|number| queue.remove(number, true));
            }
        }
        let mut single = queue.clone();
        let rate = random.f64() * 40.0;
        let removed = queue.expire(rate, ms(400));
        many += usize::from(removed.len() >= 8);
        for (waiting, _) in removed {
            single.remove(waiting.number, false);
        }
        assert_eq!(single.expire(rate, ms(400)), []);
        while let Some(head) = queue.head().cloned() {
            assert_eq!(single.head(), Some(&head));
            assert_eq!(queue.remove(head.number, true), Some(head.clone()));
            single.remove(head.number, true);
        }
        assert!(single.is_empty());
    }
    assert!(many >= 20, "{many} rounds with many removals");
}

/// Load: 256 waiting requests of 64 workspaces. Guards against a cost of a call that grows with the square of the
/// queue; `examples/admission_queue` measures it in a release build, where the limit is 20 microseconds.
#[test]
fn cost_of_calls() {
    let mut queue = Queue::with_seed(256, 1);
    let start = Instant::now();
    let calls = 1_000;
    for number in 0..calls {
        let waiting = Waiting {
            priority: (number % 3) as u8,
            ..request(number, number as u32 % 64, number, 2_000)
        };
        queue.offer(waiting, 128.0, ms(number));
        queue.expire(128.0, ms(number));
    }
    assert!(queue.len() > 200);
    let each = start.elapsed() / (2 * calls as u32);
    assert!(each < ms(2), "{each:?}");
}
