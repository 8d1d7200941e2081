//! Fair sharing between workspaces.

mod drive;

use std::time::Duration;

use drive::{at, item, run, warm, Outcome, T0};
use jujubehook::error::Kind;
use jujubehook::target::{Item, Settings};

const PROMPT: u64 = 2_000;

fn of(workspace: &str, weight: u32, request: u64, arrival: f64) -> (Duration, Item) {
    let item = Item {
        weight,
        workspace: workspace.into(),
        ..item(request, PROMPT, arrival + 30.0)
    };
    (at(arrival), item)
}

/// A flood of twice the engine's rate by `large`, and a tenth of the rate by `small`.
fn flood(settings: &Settings) -> Vec<Outcome> {
    let flood = (0..800).map(|index| of("large", 1, index, 0.05 * index as f64));
    let small = (0..40).map(|index| of("small", 1, 10_000 + index, index as f64));
    run(settings, 1, &flood.chain(small).collect::<Vec<_>>())
}

/// Times to first token of a workspace's requests; those not served have none.
fn waits<'a>(all: &'a [Outcome], workspace: &'a str) -> impl Iterator<Item = Duration> + 'a {
    let own = all
        .iter()
        .filter(move |one| one.item.workspace == workspace);
    own.map(|one| one.first.map_or(Duration::MAX, |first| first - one.offered))
}

/// Requests of a workspace with a first token by `until`.
fn served(all: &[Outcome], workspace: &str, until: f64) -> usize {
    let own = all.iter().filter(|one| one.item.workspace == workspace);
    own.filter(|one| one.first.is_some_and(|first| first <= at(until)))
        .count()
}

/// Guards against a workspace that starves others by its backlog, and against the large one being starved.
#[test]
fn flood_does_not_starve() {
    let fair = flood(&Settings::default());
    let small = waits(&fair, "small").max().unwrap();
    assert!(small < at(2.0), "{small:?}");
    // 400 pieces fit into 40 s; the small workspace needs 40 of them.
    assert!(served(&fair, "large", 40.0) > 340);
    let fifo = flood(&Settings::default().fifo());
    assert!(waits(&fifo, "small").max().unwrap() > at(10.0));
}

/// Guards against weights that are ignored.
#[test]
fn weights_divide_tokens() {
    let heavy = (0..200).map(|index| of("heavy", 3, index, 0.0));
    let light = (0..200).map(|index| of("light", 1, 1_000 + index, 0.0));
    let arrivals: Vec<_> = heavy.chain(light).collect();
    let outcomes = run(&Settings::default(), 1, &arrivals);
    let heavy = served(&outcomes, "heavy", 12.0);
    let light = served(&outcomes, "light", 12.0);
    assert!((80..=95).contains(&heavy) && (25..=40).contains(&light));
}

/// Guards against one workspace that fills the queue of all.
#[test]
fn queue_is_shared() {
    let settings = Settings {
        queue_limit: 10,
        ..Settings::default()
    };
    let mut scheduler = warm(settings);
    let mut offer = |workspace, request| {
        let (_, item) = of(workspace, 1, request, 0.0);
        scheduler.offer(item, T0).map_err(|refusal| refusal.kind)
    };
    for request in 0..5 {
        assert_eq!(offer("large", request), Ok(()));
    }
    assert_eq!(offer("large", 5), Err(Kind::Overloaded));
    assert_eq!(offer("small", 6), Ok(()));
}
