//! Guards against memory that stays reserved at an engine after the request that used it has ended. Runs the whole core
//! without a socket.

mod entry_core;
mod entry_fixtures;
mod entry_script;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use entry_core::at;
use entry_fixtures::ms;
use entry_script::{opened, play, Engines, Step, ENGINES, LARGEST, RUN_TIME, WIDE};
use jujubehook::entry::platform::Topic;
use jujubehook::entry::{Answer, Instance, Record};

/// Maximum time for which memory may stay reserved without being used, as agreed with the engines.
const MAX_UNUSED: Duration = Duration::from_secs(9);

/// Plays a request, and checks that no memory outlives it.
fn check(
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    play(engines, path, tokens, caller);
    engines.check();
}

async fn leave(_: Rc<Instance>, _: Answer) {}

/// Removes all other engines but three from the directory: enough to wait for, too few to begin at once.
fn keep_few(instance: &Instance, user: &str) {
    let ids = (0..ENGINES).map(|number| format!("i-{number}"));
    let others: Vec<String> = ids.filter(|id| id != user).skip(3).collect();
    let records = (ENGINES..).zip(others);
    let records: Vec<Record> = records
        .map(|(offset, key)| Record {
            key,
            position: at(offset),
            ..Record::default()
        })
        .collect();
    let end = at(ENGINES + records.len() as u64);
    instance.apply(Topic::Targets, records, end, false);
}

/// An engine falls silent for good while it reads the largest prompts, long before their predicted first event.
#[test]
fn silent_engine() {
    let script = [Step::Wait(ms(300)), Step::Vanish];
    check(&Rc::new(Engines::new(script)), "/twice/", LARGEST, leave);
}

/// The same, and another process accepts connections at its address.
#[test]
fn reused_address() {
    let engines = Engines {
        address_is_reused: true,
        ..Engines::new([Step::Wait(ms(300)), Step::Vanish])
    };
    check(&Rc::new(engines), "/twice/", LARGEST, leave);
}

/// The same on a route whose requests are sent to one target only.
#[test]
fn last_attempt() {
    let script = [Step::Wait(ms(300)), Step::Vanish];
    check(&Rc::new(Engines::new(script)), "/", LARGEST, leave);
}

/// An engine falls silent for good a while after the last event of a stream.
#[test]
fn silent_stream() {
    let script = [Step::Event(1), Step::Wait(ms(700)), Step::Vanish];
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await.next().await;
    };
    check(&Rc::new(Engines::new(script)), "/twice/", WIDE, caller);
}

/// A stream breaks and waits for memory at other engines to be resumed.
#[test]
fn broken_stream() {
    let script = [Step::Event(1), Step::Wait(ms(100)), Step::Break];
    let engines = Rc::new(Engines::new(script));
    let caller = async |instance: Rc<Instance>, answer| {
        let mut relay = opened(answer).await;
        keep_few(&instance, &engines.user.borrow());
        relay.next().await;
    };
    check(&engines, "/twice/", WIDE, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// An engine that reads a prompt for longer than memory lasts without a renewal still answers it.
#[test]
fn long_prefill() {
    let script = [Step::Wait(ms(8_500)), Step::Event(1)];
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await;
    };
    let engines = Rc::new(Engines::new(script));
    check(&engines, "/twice/", LARGEST, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// A full engine resets new connections for a while: the request that it reads goes on.
#[test]
fn full_engine() {
    let engines = Rc::new(Engines {
        lost_questions: Cell::new(2),
        ..Engines::new([Step::Wait(ms(5_000)), Step::Event(1)])
    });
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await;
    };
    check(&engines, "/twice/", LARGEST, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// No renewal is carried out: an engine cuts a request off when its memory expires, so the request goes elsewhere.
#[test]
fn lost_renewals() {
    let engines = Rc::new(Engines {
        loses_renewals: true,
        ..Engines::new([Step::Wait(RUN_TIME * 2)])
    });
    play(&engines, "/twice/", LARGEST, leave);
    assert!(engines.sends.get() > 1);
}

/// An engine queues a request and never begins it: the memory at other engines must not wait for it for too long.
#[test]
fn unused_memory() {
    let engines = Rc::new(Engines {
        is_queued: true,
        ..Engines::new([Step::Wait(RUN_TIME * 2)])
    });
    let began = Instant::now();
    play(&engines, "/twice/", LARGEST, leave);
    for reservation in engines.reservations.borrow().iter() {
        let kept = reservation.until.duration_since(began);
        assert!(kept < MAX_UNUSED, "{} for {kept:?}", reservation.ticket);
    }
}
