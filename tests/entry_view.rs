//! Guards against work that is counted twice, or stays after its request or its instance is gone.

mod entry_fixtures;

use entry_fixtures::ms;
use jujubehook::entry::{Heartbeat, Load, Row, View, Work};

fn work(primary: u32) -> Work {
    Work {
        background: false,
        primary,
        gap: ms(250),
        helpers: vec![(9, 0)],
        short: true,
        part_time: ms(100),
        rank: 1,
        start: ms(0),
        tokens: 1_000,
    }
}

fn heartbeat(sequence: u64, running: u32) -> Heartbeat {
    Heartbeat {
        incarnation: 5,
        instance: "other".into(),
        rows: vec![Row {
            running,
            target: 1,
            ..Row::default()
        }],
        sequence,
        ..Heartbeat::default()
    }
}

fn load(view: &View, target: u32, now: u64) -> Load {
    let loads = view.loads(ms(now));
    let found = loads.iter().find(|(key, _)| *key == target);
    found.map_or(Load::default(), |(_, load)| *load)
}

/// Reading time shrinks while it is read, and is gone with the first event; the request stays until its end.
#[test]
fn reading_shrinks() {
    let mut view = View::default();
    let number = view.start(work(1));
    assert_eq!(load(&view, 1, 0).backlog, ms(100));
    assert_eq!(load(&view, 9, 50).backlog, ms(50));
    assert!(
        load(&view, 9, 5_000).backlog > ms(0),
        "a late reading still counts"
    );
    view.finish_prefill(number);
    assert_eq!(load(&view, 1, 100).backlog, ms(0));
    assert_eq!(load(&view, 1, 100).running, 1);
    view.finish(number);
    assert_eq!(load(&view, 1, 100), Load::default());
}

/// Datagrams overtake each other: an older one must not bring back work that is done.
#[test]
fn late_beat_is_ignored() {
    let mut view = View::default();
    assert!(view.receive(&heartbeat(2, 1), ms(0)));
    assert!(!view.receive(&heartbeat(1, 7), ms(1)));
    assert_eq!(load(&view, 1, 1).running, 1);
    let restarted = Heartbeat {
        incarnation: 6,
        ..heartbeat(1, 3)
    };
    assert!(view.receive(&restarted, ms(2)));
    assert_eq!(load(&view, 1, 2).running, 3);
}

/// The work of an instance that fell silent does not block targets for ever.
#[test]
fn silent_instance_is_forgotten() {
    let mut view = View::default();
    view.receive(&heartbeat(1, 3), ms(0));
    assert_eq!(load(&view, 1, 1_000).running, 3);
    assert_eq!(load(&view, 1, 3_000), Load::default());
}

/// Ages alone are no news, since the receiver lets them grow; a prompt that was sent or read is.
#[test]
fn only_news_is_told() {
    let mut view = View::default();
    let told = |view: &View, now: u64| Heartbeat {
        prefills: view.prefills(ms(now)),
        rows: view.rows(),
        ..Heartbeat::default()
    };
    let nothing = told(&view, 0);
    let number = view.start(work(1));
    let sent = told(&view, 0);
    assert!(!sent.repeats(&nothing));
    assert!(told(&view, 90).repeats(&sent));
    view.finish_prefill(number);
    assert!(!told(&view, 100).repeats(&sent));
}

/// Prompts that were read long ago are not told any more; unread ones are.
#[test]
fn old_readings_are_dropped() {
    let mut view = View::default();
    let read = view.start(work(1));
    view.start(work(2));
    view.finish_prefill(read);
    view.finish(read);
    assert_eq!(view.prefills(ms(100)).len(), 2);
    view.expire(ms(5_000));
    let left = view.prefills(ms(5_000));
    assert_eq!(left.len(), 1);
    assert!(!left[0].finished);
}

/// A request that ends before its prompt was read frees its engines of it.
#[test]
fn cancelled_reading_is_gone() {
    let mut view = View::default();
    let number = view.start(work(1));
    view.finish(number);
    assert!(view.prefills(ms(1)).is_empty());
    assert_eq!(load(&view, 9, 1), Load::default());
}
