//! Gangs of engines: plan, coordinator and holds.

use std::time::Duration;

use jujubehook::error::Kind;
use jujubehook::gang::{plan, Action, Coordinator, Event, Holds, Offer, Part, Settings};

const DEADLINE: Duration = Duration::from_secs(60);
const START: Duration = Duration::ZERO;

fn coordinator() -> Coordinator {
    let parts = [("b", 60), ("a", 50)].map(|(target, tokens)| Part {
        target: target.into(),
        tokens,
    });
    Coordinator::with_settings(
        parts.into(),
        100,
        DEADLINE,
        Settings {
            chunk: 30,
            ..Settings::default()
        },
    )
}

/// A coordinator that holds both parts and has started the prefill.
fn prefilling() -> Coordinator {
    let mut gang = coordinator();
    gang.start(START);
    gang.handle(Event::Held { part: 0 }, START);
    assert_eq!(
        gang.handle(Event::Held { part: 1 }, START),
        [Action::Prefill {
            part: 0,
            from: 0,
            to: 30
        }]
    );
    gang
}

fn offer(domain: &str, target: &str, free: u64) -> Offer {
    Offer {
        domain: domain.into(),
        free,
        target: target.into(),
    }
}

fn release_and_fail(kind: Kind) -> [Action; 3] {
    [
        Action::Release { part: 0 },
        Action::Release { part: 1 },
        Action::Fail { kind },
    ]
}

fn plan_sizes(prompt: u64, max_tokens: u64, offers: &[Offer]) -> Option<Vec<(String, u64)>> {
    plan(prompt, max_tokens, offers).map(|parts| {
        parts
            .into_iter()
            .map(|part| (part.target, part.tokens))
            .collect()
    })
}

/// Guards against gangs that span domains, are larger than needed, or have too little memory.
#[test]
fn smallest_gang() {
    let offers = [
        offer("n", "n2", 40),
        offer("n", "n1", 40),
        offer("n", "n3", 70),
        offer("s", "s1", 100),
    ];
    let gang = |list: &[(&str, u64)]| {
        Some(
            list.iter()
                .map(|(name, tokens)| (String::from(*name), *tokens))
                .collect(),
        )
    };
    assert_eq!(plan_sizes(95, 10, &offers), gang(&[("n1", 40), ("n3", 65)]));
    assert_eq!(plan_sizes(60, 10, &offers), gang(&[("n3", 70)]));
    assert_eq!(
        plan_sizes(140, 10, &offers),
        gang(&[("n1", 40), ("n2", 40), ("n3", 70)])
    );
    assert_eq!(plan_sizes(141, 10, &offers), None);
    assert_eq!(plan_sizes(10, 100, &offers), None);
    assert_eq!(
        plan_sizes(40, 39, &[offer("n", "a", 40), offer("n", "b", 40)]),
        gang(&[("a", 39), ("b", 40)])
    );
    assert_eq!(plan_sizes(0, 1, &offers), None);
    assert_eq!(plan_sizes(1, 1, &[]), None);
}

/// Guards against plans that lose prompt tokens, exceed the memory of an engine or are not the smallest, by comparison
/// with all subsets.
#[test]
fn plan_is_minimal() {
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..3_000 {
        let offers = (0..6)
            .map(|n| offer(["n", "s"][n % 2], &format!("t{n}"), random.u64(0..9)))
            .collect::<Vec<_>>();
        let (prompt, generated) = (random.u64(1..25), random.u64(0..6));
        let fits = |mask: u32| {
            let gang = offers
                .iter()
                .enumerate()
                .filter(|(n, _)| mask >> n & 1 == 1)
                .map(|(_, offer)| offer);
            let gang = gang.collect::<Vec<_>>();
            let one = gang.windows(2).all(|pair| pair[0].domain == pair[1].domain);
            let last = gang.last().is_some_and(|last| last.free > generated);
            one && last && gang.iter().map(|offer| offer.free).sum::<u64>() >= prompt + generated
        };
        let least = (1..64)
            .filter(|mask| fits(*mask))
            .map(u32::count_ones)
            .min();
        let parts = plan(prompt, generated, &offers);
        assert_eq!(
            parts.as_ref().map(|parts| parts.len() as u32),
            least,
            "{prompt} {generated} {offers:?}"
        );
        for part in parts.iter().flatten() {
            let free = offers
                .iter()
                .find(|offer| offer.target == part.target)
                .map(|offer| offer.free);
            assert!(
                free >= Some(part.tokens) && part.tokens > 0,
                "{parts:?} {offers:?}"
            );
        }
        let total = parts.map(|parts| parts.iter().map(|part| part.tokens).sum::<u64>());
        assert!(total.is_none_or(|total| total == prompt + generated));
    }
}

/// Guards against chunks that skip or repeat tokens, and against memory held after the end.
#[test]
fn whole_run() {
    let mut gang = coordinator();
    assert_eq!(gang.parts()[0].target, "a");
    assert_eq!(gang.start(START), [Action::Hold { part: 0 }]);
    assert_eq!(
        gang.handle(Event::Held { part: 0 }, START),
        [Action::Hold { part: 1 }]
    );
    let mut actions = gang.handle(Event::Held { part: 1 }, START);
    let mut chunks = Vec::new();
    while let [Action::Prefill { part, from, to }] = actions[..] {
        chunks.push((part, from, to));
        actions = gang.handle(
            Event::Prefilled {
                part,
                tokens: to - from,
            },
            START,
        );
    }
    assert_eq!(chunks, [(0, 0, 30), (0, 30, 50), (1, 50, 80), (1, 80, 100)]);
    assert_eq!(actions, [Action::Decode]);
    assert_eq!(
        gang.handle(Event::Finished, START),
        release_and_fail(Kind::Internal)[..2]
    );
    assert!(gang.is_ended());
    assert_eq!(gang.handle(Event::CallerLeft, START), []);
    assert_eq!(gang.tick(DEADLINE), []);
}

/// Guards against parts that stay held or are released twice after a failure.
#[test]
fn failures_release() {
    let mut refused = coordinator();
    refused.start(START);
    refused.handle(Event::Held { part: 0 }, START);
    let actions = [
        Action::Release { part: 0 },
        Action::Fail {
            kind: Kind::Overloaded,
        },
    ];
    assert_eq!(refused.handle(Event::Refused { part: 1 }, START), actions);
    assert_eq!(refused.handle(Event::Held { part: 1 }, START), []);
    let mut lost = coordinator();
    lost.start(START);
    let actions = [
        Action::Release { part: 0 },
        Action::Fail {
            kind: Kind::Unavailable,
        },
    ];
    assert_eq!(lost.handle(Event::Failed { part: 0 }, START), actions);
    assert_eq!(
        prefilling().handle(Event::Failed { part: 1 }, START),
        release_and_fail(Kind::UpstreamFailed)
    );
    assert_eq!(
        prefilling().handle(Event::CallerLeft, START),
        release_and_fail(Kind::Cancelled)
    );
    assert_eq!(
        prefilling().handle(
            Event::Prefilled {
                part: 0,
                tokens: 29
            },
            START
        ),
        release_and_fail(Kind::UpstreamFailed)
    );
}

/// Guards against a gang that outlives its deadline, and against reporting "not run" after an engine got a part of the
/// prompt.
#[test]
fn deadline() {
    assert_eq!(
        coordinator().start(DEADLINE),
        [Action::Fail {
            kind: Kind::DeadlineRefused
        }]
    );
    let mut waiting = coordinator();
    waiting.start(DEADLINE - Duration::from_secs(1));
    let actions = [
        Action::Release { part: 0 },
        Action::Fail {
            kind: Kind::DeadlineRefused,
        },
    ];
    assert_eq!(waiting.tick(DEADLINE), actions);
    let mut running = coordinator();
    running.start(DEADLINE - Duration::from_secs(1));
    running.handle(Event::Held { part: 0 }, START);
    running.handle(Event::Held { part: 1 }, START);
    assert_eq!(
        running.tick(DEADLINE),
        release_and_fail(Kind::DeadlineExceeded)
    );
}

/// Guards against a gang that continues to use memory after its hold expired at the owner.
#[test]
fn renewals() {
    let second = Duration::from_secs(1);
    let mut gang = prefilling();
    assert_eq!(gang.tick(second / 2), []);
    assert_eq!(
        gang.tick(second),
        [Action::Renew { part: 0 }, Action::Renew { part: 1 }]
    );
    assert_eq!(gang.tick(2 * second), [], "one unanswered renewal per part");
    gang.handle(Event::Renewed { part: 0 }, 2 * second);
    gang.handle(Event::Renewed { part: 9 }, 2 * second);
    assert_eq!(gang.tick(4 * second), [Action::Renew { part: 0 }]);
    assert_eq!(
        gang.tick(5 * second),
        release_and_fail(Kind::UpstreamFailed)
    );
}

/// Guards against memory that an owner holds for a gang that has ended.
#[test]
fn holds_expire() {
    let second = Duration::from_secs(1);
    let mut holds = Holds::default();
    holds.hold(2, 50, 5 * second);
    holds.hold(1, 30, 5 * second);
    holds.hold(1, 20, 5 * second);
    assert_eq!((holds.tokens(), holds.orphans(&[3, 2, 1])), (70, vec![3]));
    assert!(holds.renew(2, 6 * second) && !holds.renew(3, 6 * second));
    assert_eq!(holds.expire(5 * second), [1]);
    assert!(holds.release(2) && !holds.release(2));
    assert_eq!((holds.tokens(), holds.expire(9 * second)), (0, vec![]));
}
