//! Guards against long prompts that hold up short ones, and against engines that are left idle. The pattern of each
//! test is named in its text.

mod entry_fixtures;

use entry_fixtures::{chat, contract, engines, long, ms, profile, write};
use jujubehook::entry::{place, Choice, Engine, Placement};

fn placed(choice: Choice) -> Placement {
    match choice {
        Choice::Place(placement) => placement,
        other => panic!("not placed: {other:?}"),
    }
}

fn is_writer(engines: &[Engine], placement: &Placement) -> bool {
    let first = engines
        .iter()
        .find(|engine| engine.key == placement.primary.key());
    first.is_some_and(|engine| engine.load.short > 0)
}

/// Pattern: a steady stream of chats. They fill few engines instead of a little of all of them, so that the others can
/// read long prompts.
#[test]
fn chats_are_packed() {
    let mut engines = engines(23);
    for seed in 0..60 {
        let placement = placed(place(&chat(), &profile(), &engines, seed));
        assert!(placement.helpers.is_empty());
        let engine = engines
            .iter_mut()
            .find(|engine| engine.key == placement.primary.key());
        write(engine.unwrap(), 1);
    }
    let used = engines
        .iter()
        .filter(|engine| engine.load.short > 0)
        .count();
    assert!(used <= 8, "60 chats are on {used} engines");
}

/// Pattern: a burst of chats at full fleet. While slots are short, a chat that can still be on time goes before one
/// that is late anyway.
#[test]
fn on_time_chats_first() {
    let mut engines = engines(6);
    for engine in &mut engines {
        write(engine, 14);
        engine.load.backlog = ms(100);
    }
    let mut late = chat();
    late.objective = ms(0);
    assert!(matches!(
        place(&late, &profile(), &engines, 1),
        Choice::Wait
    ));
    placed(place(&chat(), &profile(), &engines, 1));
}

/// Pattern: a burst of chats beyond all slots. Nothing is sent to an engine whose slots are taken.
#[test]
fn full_engines_get_nothing() {
    let mut engines = engines(6);
    for engine in &mut engines {
        write(engine, 16);
    }
    assert!(matches!(
        place(&chat(), &profile(), &engines, 1),
        Choice::Wait
    ));
}

/// Pattern: chats beside exports. A long prompt is read by many engines, none of which has writers with short pauses.
#[test]
fn long_prompt_avoids_writers() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        write(engine, 12);
    }
    let placement = placed(place(&long(182_000), &profile(), &engines, 7));
    assert!(
        placement.helpers.len() >= 10,
        "{} helpers",
        placement.helpers.len()
    );
    for helper in &placement.helpers {
        let engine = engines
            .iter()
            .find(|engine| engine.key == helper.target.key());
        assert_eq!(engine.unwrap().load.short, 0, "a writer helps");
    }
    assert!(!is_writer(&engines, &placement));
    assert!(placement.wait < ms(700), "{:?}", placement.wait);
}

/// Pattern: a burst of exports. A part that is sent early would hold up the one before it, so the second prompt waits
/// here until the engines are nearly free.
#[test]
fn exports_wait_their_turn() {
    let mut engines = engines(23);
    for engine in &mut engines {
        engine.load.backlog = ms(400);
    }
    assert!(matches!(
        place(&long(182_000), &profile(), &engines, 7),
        Choice::Wait
    ));
}

/// Pattern: contracts in a burst of exports. Their short parts are read first, so they need not wait.
#[test]
fn contracts_pass_exports() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        write(engine, 4);
    }
    for engine in &mut engines[4..] {
        engine.load.backlog = ms(900);
    }
    let placement = placed(place(&contract(), &profile(), &engines, 7));
    assert!(placement.wait < ms(500), "{:?}", placement.wait);
    assert!(placement.part_time <= ms(130), "{:?}", placement.part_time);
}

/// Pattern: a contract among chats. The part that an engine with chats reads leaves their pauses below the limit.
#[test]
fn parts_fit_pauses() {
    let mut engines = engines(4);
    for engine in &mut engines {
        write(engine, 10);
        engine.load.backlog = ms(90);
    }
    if let Choice::Place(placement) = place(&contract(), &profile(), &engines, 7) {
        panic!(
            "a part of {:?} stretches a pass beyond the pause",
            placement.part_time
        );
    }
}

/// Pattern: a prompt of 600,000 tokens. No engine has the memory, so helpers hold what is over, and the sum is right.
#[test]
fn memory_is_shared() {
    let engines = engines(23);
    let demand = long(600_000);
    let placement = placed(place(&demand, &profile(), &engines, 7));
    let held: u32 = placement.helpers.iter().map(|helper| helper.reserved).sum();
    assert!(held >= 200_000);
    assert!(placement.primary_tokens <= profile().memory_tokens);
    assert!(held + placement.primary_tokens >= demand.tokens);
}

/// Pattern: a prompt that no number of engines reads on time. It is sent as work that gives way.
#[test]
fn late_prompt_gives_way() {
    let engines = engines(23);
    let placement = placed(place(&long(900_000), &profile(), &engines, 7));
    assert!(placement.background);
}

/// Pattern: the largest prompt with little time left. It is refused at once instead of being held to its deadline.
#[test]
fn hopeless_prompt_is_refused() {
    let mut demand = long(900_000);
    demand.objective = ms(0);
    demand.deadline = ms(3_000);
    assert!(matches!(
        place(&demand, &profile(), &engines(23), 7),
        Choice::Refuse
    ));
}

/// Pattern: slow engines. They come last in the order, for writers and for parts.
#[test]
fn slow_engines_come_last() {
    let mut engines = engines(8);
    for engine in &mut engines[..3] {
        engine.slowdown = 5.0;
    }
    for seed in 0..20 {
        let placement = placed(place(&chat(), &profile(), &engines, seed));
        let engine = engines
            .iter()
            .find(|engine| engine.key == placement.primary.key());
        assert!(engine.unwrap().slowdown < 2.0);
    }
}
