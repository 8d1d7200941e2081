//! Guards against late responses whose cause cannot be told from the log: one test for each cause, and the metric of a
//! stream with a pause.

mod entry_core;
mod entry_fixtures;
mod entry_script;

use std::rc::Rc;
use std::time::Duration;

use entry_fixtures::ms;
use entry_script::{opened, play, Engines, Step};
use jujubehook::entry::late::{explain, Cause, Gap, Lateness, Promise, Times};
use smol::Timer;

const PROMISE: Promise = Promise {
    gap: Duration::from_millis(250),
    objective: Duration::from_millis(300),
};

/// A request that arrived at 1 s, was sent at once and answered after 100 ms, as predicted.
fn in_time() -> Times {
    Times {
        answering_send: Some(ms(1_000)),
        arrival: ms(1_000),
        first_event: ms(1_100),
        first_send: Some(ms(1_000)),
        predicted: ms(100),
        ..Times::default()
    }
}

fn gap(time: u64, is_moved: bool) -> Gap {
    Gap {
        after_event: Some(7),
        is_moved,
        time: ms(time),
    }
}

fn late(times: Times) -> Lateness {
    explain(&times, PROMISE).expect("a late response")
}

/// A response within its limits is not reported.
#[test]
fn none_in_time() {
    let times = Times {
        first_event: ms(1_300),
        pause: gap(250, false),
        unread: gap(250, false),
        ..in_time()
    };
    assert_eq!(explain(&times, PROMISE), None);
}

/// The wait for a target takes the largest share, also of a request that was never sent.
#[test]
fn place() {
    let times = Times {
        answering_send: Some(ms(1_400)),
        first_event: ms(1_550),
        first_send: Some(ms(1_400)),
        ..in_time()
    };
    let found = late(times);
    assert_eq!(found.cause, Cause::Place);
    assert_eq!((found.place, found.first), (ms(400), ms(150)));
    let unsent = Times {
        answering_send: None,
        first_event: ms(1_400),
        first_send: None,
        ..in_time()
    };
    assert_eq!(late(unsent).cause, Cause::Place);
}

/// The target takes longer than predicted, or than the objective as predicted. A target that was as fast as predicted
/// is not blamed for a wait before it.
#[test]
fn first_event() {
    let slow = Times {
        first_event: ms(1_350),
        ..in_time()
    };
    assert_eq!(late(slow).cause, Cause::FirstEvent);
    let predicted = Times {
        predicted: ms(400),
        ..slow
    };
    assert_eq!(late(predicted).cause, Cause::FirstEvent);
    let behind = Times {
        answering_send: Some(ms(1_150)),
        first_event: ms(1_350),
        first_send: Some(ms(1_150)),
        predicted: ms(220),
        ..in_time()
    };
    assert_eq!(late(behind).cause, Cause::Place);
}

/// A target pauses within a stream that began in time; also if the caller did not read for longer.
#[test]
fn pause() {
    let times = Times {
        pause: gap(300, false),
        unread: gap(900, false),
        ..in_time()
    };
    let found = late(times);
    assert_eq!(found.cause, Cause::Pause);
    assert_eq!(found.pause, gap(300, false));
}

/// Earlier sends take the largest share, or a stream continues at another target.
#[test]
fn attempt() {
    let times = Times {
        answering_send: Some(ms(1_500)),
        first_event: ms(1_600),
        first_send: Some(ms(1_050)),
        ..in_time()
    };
    let found = late(times);
    assert_eq!(found.cause, Cause::Attempt);
    assert_eq!((found.place, found.attempt), (ms(50), ms(450)));
    let moved = Times {
        pause: gap(300, true),
        ..in_time()
    };
    assert_eq!(late(moved).cause, Cause::Attempt);
}

/// A caller that does not read is not counted as a pause of the target.
#[test]
fn reader() {
    let times = Times {
        pause: gap(200, false),
        unread: gap(900, false),
        ..in_time()
    };
    let found = late(times);
    assert_eq!(found.cause, Cause::Reader);
    assert_eq!(found.pause, gap(900, false));
}

/// Times in an impossible order are read as zero.
#[test]
fn reversed_times() {
    let times = Times {
        answering_send: Some(ms(900)),
        arrival: ms(2_000),
        first_send: Some(ms(1_500)),
        ..in_time()
    };
    assert_eq!(explain(&times, PROMISE), None);
}

/// A stream pauses for longer than its gap of 1 s, once while it is read and once while it is not.
#[test]
fn counted_at_the_end() {
    for (reads, cause) in [(true, "pause"), (false, "reader")] {
        let wait = ms(if reads { 1_200 } else { 0 });
        let steps = [
            Step::Event(1),
            Step::Wait(wait),
            Step::Event(2),
            Step::Finish,
            Step::End,
        ];
        let engines = Rc::new(Engines::new(steps));
        play(&engines, "/", 2_000, async |instance, answer| {
            let mut relay = opened(answer).await;
            if !reads {
                Timer::after(ms(1_200)).await;
            }
            while let Some(events) = relay.next().await {
                assert!(events.is_ok());
            }
            let text = String::from_utf8(instance.metrics.text()).expect("text");
            let line =
                format!("jujubehook_entry_late_total{{cause=\"{cause}\",kind=\"stream\"}} 1");
            assert!(text.contains(&line), "{text}");
        });
    }
}
