//! Guards against long prompts that delay short ones, and against idle engines. Each test names its load pattern.

mod entry_fixtures;

use entry_fixtures::{add_chats, chat, contract, engines, long, ms, profile};
use jujubehook::entry::{place, Choice, Engine, Placement};

fn placed(choice: Choice) -> Placement {
    match choice {
        Choice::Place(placement) => placement,
        other => panic!("not placed: {other:?}"),
    }
}

fn runs_chats(engines: &[Engine], placement: &Placement) -> bool {
    let primary = engines
        .iter()
        .find(|engine| engine.key == placement.primary.key());
    primary.is_some_and(|engine| engine.load.short > 0)
}

/// Pattern: a steady stream of chats. They fill few engines instead of spreading over all, so that the other engines
/// can prefill long prompts.
#[test]
fn chats_are_packed() {
    let mut engines = engines(23);
    for seed in 0..60 {
        let placement = placed(place(&chat(), &profile(), &engines, seed));
        assert!(placement.helpers.is_empty());
        let engine = engines
            .iter_mut()
            .find(|engine| engine.key == placement.primary.key());
        add_chats(engine.unwrap(), 1);
    }
    let used = engines
        .iter()
        .filter(|engine| engine.load.short > 0)
        .count();
    assert!(used <= 8, "60 chats are on {used} engines");
}

/// Pattern: a burst of chats on all engines. While slots are scarce, a chat that can still meet its objective goes
/// before one that cannot.
#[test]
fn on_time_chats_first() {
    let mut engines = engines(6);
    for engine in &mut engines {
        add_chats(engine, 14);
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

/// Pattern: more chats than slots. Nothing is sent to an engine without free slots.
#[test]
fn full_engines_get_nothing() {
    let mut engines = engines(6);
    for engine in &mut engines {
        add_chats(engine, 16);
    }
    assert!(matches!(
        place(&chat(), &profile(), &engines, 1),
        Choice::Wait
    ));
}

/// Pattern: chats beside exports. A long prompt is prefilled by many engines, none of which runs chats.
#[test]
fn long_prompt_avoids_chats() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        add_chats(engine, 12);
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
        assert_eq!(engine.unwrap().load.short, 0, "an engine with chats helps");
    }
    assert!(!runs_chats(&engines, &placement));
    assert!(placement.wait < ms(700), "{:?}", placement.wait);
}

/// Pattern: a burst of exports. A part that is sent early would delay the one before it, so the second prompt waits in
/// the instance until the engines are nearly free.
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

/// Pattern: contracts in a burst of exports. Their short parts are processed first, so they need not wait.
#[test]
fn contracts_pass_exports() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        add_chats(engine, 4);
    }
    for engine in &mut engines[4..] {
        engine.load.backlog = ms(900);
    }
    let placement = placed(place(&contract(), &profile(), &engines, 7));
    assert!(placement.wait < ms(500), "{:?}", placement.wait);
    assert!(placement.part_time <= ms(130), "{:?}", placement.part_time);
}

/// Pattern: a contract among chats. The part that an engine with chats prefills keeps the gaps of the chats within
/// their limit.
#[test]
fn parts_fit_gaps() {
    let mut engines = engines(4);
    for engine in &mut engines {
        add_chats(engine, 10);
        engine.load.backlog = ms(90);
    }
    if let Choice::Place(placement) = place(&contract(), &profile(), &engines, 7) {
        panic!(
            "a part of {:?} stretches a pass beyond the gap",
            placement.part_time
        );
    }
}

/// Pattern: a prompt of 600,000 tokens. No single engine has enough memory, so helpers store the rest, and the shares
/// add up to the whole context.
#[test]
fn memory_is_shared() {
    let engines = engines(23);
    let requirements = long(600_000);
    let placement = placed(place(&requirements, &profile(), &engines, 7));
    let reserved: u32 = placement.helpers.iter().map(|helper| helper.reserved).sum();
    assert!(reserved >= 200_000);
    assert!(placement.primary_tokens <= profile().memory_tokens);
    assert!(reserved + placement.primary_tokens >= requirements.tokens);
}

/// Pattern: the largest prompts in a large fleet, where some engine is always busy. They are sent while far more engines
/// are free than they need, and only to free ones.
#[test]
fn largest_prompt_at_size() {
    let mut engines = engines(195);
    for engine in engines.iter_mut().step_by(3) {
        engine.load.backlog = ms(300);
    }
    let placement = placed(place(&long(900_000), &profile(), &engines, 7));
    assert!(placement.background);
    let used = placement.helpers.iter().map(|helper| &helper.target);
    for target in used.chain([&placement.primary]) {
        let engine = engines.iter().find(|engine| engine.key == target.key());
        assert_eq!(engine.unwrap().load.backlog, ms(0));
    }
}

/// Pattern: the largest prompts in a burst of exports. They wait while what is left free is needed for prompts that can
/// still be on time.
#[test]
fn largest_prompt_in_burst() {
    let mut engines = engines(195);
    for engine in engines.iter_mut().skip(45) {
        engine.load.backlog = ms(300);
    }
    assert!(matches!(
        place(&long(900_000), &profile(), &engines, 7),
        Choice::Wait
    ));
}

/// Pattern: a prompt that no number of engines can prefill within its objective. It is sent as background work.
#[test]
fn late_prompt_gives_way() {
    let engines = engines(23);
    let placement = placed(place(&long(900_000), &profile(), &engines, 7));
    assert!(placement.background);
}

/// Pattern: the largest prompt with little time left. It is refused at once instead of being held until its deadline.
#[test]
fn hopeless_prompt_is_refused() {
    let mut requirements = long(900_000);
    requirements.objective = ms(0);
    requirements.deadline = ms(3_000);
    assert!(matches!(
        place(&requirements, &profile(), &engines(23), 7),
        Choice::Refuse
    ));
}

/// Pattern: slow engines. They are last in the order of a placement, so chats go to the others.
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

/// Pattern: all engines of a service are gone, leave or pause. Requests wait for one, whatever their prompts.
#[test]
fn no_engine_is_left() {
    for requirements in [chat(), contract(), long(400_000)] {
        let choice = place(&requirements, &profile(), &[], 1);
        assert!(!matches!(choice, Choice::Place(_)), "{choice:?}");
    }
    assert!(matches!(place(&chat(), &profile(), &[], 1), Choice::Wait));
}
