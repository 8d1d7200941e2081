//! Guards against answers that are cut although their engine was only silent for a while. Runs the whole core without a
//! socket.

mod entry_core;
mod entry_fixtures;
mod entry_script;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use entry_fixtures::{ms, profile};
use entry_script::{
    opened, play, play_in, play_with, Deployment, Engines, Step, LARGEST, RUN_TIME, WIDE,
};
use futures_lite::future::or;
use jujubehook::entry::platform::Failure;
use jujubehook::entry::{Answer, Instance, Profile, Settings};
use smol::Timer;

/// Tokens of a prompt that one engine reads at once.
const SHORT: u64 = 2_000;

/// Number of engines that just suffice for a prompt of `SMALL_WIDE` tokens.
const SMALL_FLEET: u64 = 5;

/// Time after which memory is refused: the send is silent by then, and the next one is not yet.
const REFUSAL_TIME: Duration = Duration::from_millis(600);

/// Tokens of a prompt that needs the memory of two small engines.
const SMALL_WIDE: u64 = 150_000;

/// Maximum time until a stream is moved from an engine that broke it.
const MOVE_TIME: Duration = Duration::from_millis(300);

/// A retry budget that allows no retry.
fn no_budget() -> Settings {
    Settings {
        budget_ratio: 0.0,
        budget_slack: 0.0,
        ..Settings::default()
    }
}

/// Few engines with little memory.
fn small_fleet() -> Deployment {
    Deployment {
        engines: SMALL_FLEET,
        profile: Profile {
            memory_tokens: 100_000,
            ..profile()
        },
        ..Deployment::default()
    }
}

/// Reads a stream to its end and checks that it is whole: two events.
async fn read_whole(_: Rc<Instance>, answer: Answer) {
    let mut relay = opened(answer).await;
    let second = relay.next().await;
    assert_eq!(second, Some(Ok("id: 2\ndata: x\n\n".into())));
    assert_eq!(relay.next().await, None);
}

/// An engine that stands still for a time between two events.
fn between_events(time: Duration) -> Rc<Engines> {
    Rc::new(Engines::new([
        Step::Event(1),
        Step::Stand(time),
        Step::Event(2),
        Step::End,
    ]))
}

/// An engine that stands still for a time before the first event.
fn before_events(time: Duration) -> Rc<Engines> {
    Rc::new(Engines::new([
        Step::Stand(time),
        Step::Event(1),
        Step::Event(2),
        Step::End,
    ]))
}

/// No retry is allowed while an engine stands still: its stream must not be cut.
#[test]
fn no_retry_left() {
    for time in [600, 1_000, 1_500, 2_500] {
        let engines = between_events(ms(time));
        play_with(no_budget(), &engines, "/twice/", SHORT, read_whole);
        assert_eq!(engines.sends.get(), 1, "{time} ms");
    }
}

/// The other engine that is asked never answers, and the first one goes on: its stream must not be cut.
#[test]
fn other_is_silent() {
    let engines = between_events(ms(1_500));
    play(&engines, "/twice/", SHORT, read_whole);
    assert_eq!(engines.sends.get(), 2);
}

/// The same before the first event.
#[test]
fn late_first_event() {
    let engines = before_events(ms(1_500));
    play(&engines, "/twice/", SHORT, read_whole);
    assert_eq!(engines.sends.get(), 2);
}

/// The same when no retry is allowed.
#[test]
fn late_without_retry() {
    let engines = before_events(ms(1_500));
    play_with(no_budget(), &engines, "/twice/", SHORT, read_whole);
    assert_eq!(engines.sends.get(), 1);
}

/// An engine that uses memory at others stands still when the memory is due for renewal: its stream must not be cut.
#[test]
fn memory_due() {
    let engines = Rc::new(Engines::new([
        Step::Event(1),
        Step::Wait(ms(1_700)),
        Step::Stand(ms(1_300)),
        Step::Wait(ms(3_500)),
        Step::Event(2),
        Step::End,
    ]));
    play_with(no_budget(), &engines, "/twice/", WIDE, read_whole);
    engines.check();
}

/// The same before the first event.
#[test]
fn memory_due_first() {
    let engines = Rc::new(Engines::new([
        Step::Wait(ms(1_700)),
        Step::Stand(ms(1_300)),
        Step::Wait(ms(3_500)),
        Step::Event(1),
        Step::Event(2),
        Step::End,
    ]));
    play_with(no_budget(), &engines, "/twice/", LARGEST, read_whole);
    engines.check();
}

/// Memory of a request expires, as far as its instance knows, while its engine goes on. The request must not run again
/// if it may run only once.
#[test]
fn once_expired() {
    for path in ["/sale/", "/fixed/"] {
        let engines = Rc::new(Engines {
            loses_renewals: true,
            ..Engines::new([Step::Wait(RUN_TIME * 2)])
        });
        let leave = async |_: Rc<Instance>, _: Answer| {};
        play(&engines, path, LARGEST, leave);
        assert_eq!(engines.sends.get(), 1, "{path}");
    }
}

/// The same after the first event of a stream that cannot be resumed.
#[test]
fn stream_expired() {
    let engines = Rc::new(Engines {
        loses_renewals: true,
        ..Engines::new([
            Step::Event(1),
            Step::Wait(ms(5_000)),
            Step::Event(2),
            Step::End,
        ])
    });
    play(&engines, "/fixed/", WIDE, read_whole);
    assert_eq!(engines.sends.get(), 1);
}

/// An engine that writes an answer ends without a word in a small fleet, where the answer can go on only at engines that
/// hold its memory: the stream must not wait for them until its time ends.
#[test]
fn gone_in_small_fleet() {
    let engines = Rc::new(Engines::new([
        Step::Event(1),
        Step::Wait(ms(100)),
        Step::Vanish,
    ]));
    let sends = engines.clone();
    let caller = async |_: Rc<Instance>, answer| {
        let mut relay = opened(answer).await;
        let next = async {
            relay.next().await;
        };
        let sent_again = async {
            while sends.sends.get() < 2 {
                Timer::after(ms(20)).await;
            }
        };
        or(next, sent_again).await;
    };
    play_in(small_fleet(), &engines, "/twice/", SMALL_WIDE, caller);
    assert_eq!(engines.sends.get(), 2);
    engines.check();
}

/// Memory for a silent send is refused while another engine, which is not silent, has the request: no third engine must
/// get it.
#[test]
fn refused_while_silent() {
    let engines = Rc::new(Engines {
        late_refusal: Cell::new(Some(REFUSAL_TIME)),
        vanished: Cell::new(true),
        ..Engines::new([Step::Wait(RUN_TIME * 2)])
    });
    let deployment = Deployment {
        engines: 20,
        time: REFUSAL_TIME + ms(150),
        ..small_fleet()
    };
    let leave = async |_: Rc<Instance>, _: Answer| {};
    play_in(deployment, &engines, "/twice/", SMALL_WIDE, leave);
    assert_eq!(engines.sends.get(), 1);
}

/// The connection to an engine is dead, which ends the request and goes on: its memory must not be renewed.
#[test]
fn dead_connection() {
    let engines = Rc::new(Engines::new([
        Step::Event(1),
        Step::Wait(ms(600)),
        Step::Finish,
    ]));
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await.next().await;
    };
    play_with(no_budget(), &engines, "/twice/", WIDE, caller);
    engines.check();
}

/// A broken connection is no silence: without a retry the caller learns of it at once.
#[test]
fn break_is_final() {
    let engines = Rc::new(Engines::new([Step::Event(1), Step::Break]));
    let caller = async |_: Rc<Instance>, answer| {
        let mut relay = opened(answer).await;
        let began = Instant::now();
        assert_eq!(relay.next().await, Some(Err(Failure::Broken)));
        assert!(began.elapsed() < MOVE_TIME);
    };
    play_with(no_budget(), &engines, "/twice/", SHORT, caller);
}
