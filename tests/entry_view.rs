//! Guards against work that is counted twice, or that still counts after its request or its instance is gone.

mod entry_fixtures;

use entry_fixtures::ms;
use jujubehook::entry::{Heartbeat, Load, Position, Prefill, Row, View, Work};

fn work(primary: u32) -> Work {
    Work {
        background: false,
        gap: ms(250),
        held: false,
        helpers: vec![(9, 0)],
        part_time: ms(100),
        primary,
        rank: 1,
        short: true,
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

/// Prefill time shrinks as it passes and is gone with the first event; the request counts until its end.
#[test]
fn prefill_shrinks() {
    let mut view = View::default();
    let number = view.start(work(1));
    assert_eq!(load(&view, 1, 0).backlog, ms(100));
    assert_eq!(load(&view, 9, 50).backlog, ms(50));
    assert!(
        load(&view, 9, 5_000).backlog > ms(0),
        "an overdue prefill still counts"
    );
    view.finish_prefill(number);
    assert_eq!(load(&view, 1, 100).backlog, ms(0));
    assert_eq!(load(&view, 1, 100).running, 1);
    view.finish(number);
    assert_eq!(load(&view, 1, 100), Load::default());
}

/// Datagrams may be reordered: an older one must not bring back finished work.
#[test]
fn late_heartbeat_is_ignored() {
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

/// The work of an instance that stopped sending heartbeats does not block targets forever.
#[test]
fn silent_instance_is_forgotten() {
    let mut view = View::default();
    view.receive(&heartbeat(1, 3), ms(0));
    assert_eq!(load(&view, 1, 1_000).running, 3);
    assert_eq!(load(&view, 1, 3_000), Load::default());
}

/// A change of ages is not news, since the receiver computes them itself; a prompt that was sent or prefilled is.
#[test]
fn only_news_is_sent() {
    let mut view = View::default();
    let report = |view: &View, now: u64| Heartbeat {
        prefills: view.prefills(ms(now)),
        rows: view.rows(),
        ..Heartbeat::default()
    };
    let nothing = report(&view, 0);
    let number = view.start(work(1));
    let sent = report(&view, 0);
    assert!(!sent.repeats(&nothing));
    assert!(report(&view, 90).repeats(&sent));
    view.finish_prefill(number);
    assert!(!report(&view, 100).repeats(&sent));
}

/// Prompts that were prefilled long ago are no longer reported; unfinished ones are.
#[test]
fn old_prefills_are_dropped() {
    let mut view = View::default();
    let finished = view.start(work(1));
    view.start(work(2));
    view.finish_prefill(finished);
    view.finish(finished);
    assert_eq!(view.prefills(ms(100)).len(), 2);
    view.expire(ms(5_000));
    let left = view.prefills(ms(5_000));
    assert_eq!(left.len(), 1);
    assert!(!left[0].finished);
}

/// A request that ends during its prefill frees its engines.
#[test]
fn cancelled_prefill_is_gone() {
    let mut view = View::default();
    let number = view.start(work(1));
    view.finish(number);
    assert!(view.prefills(ms(1)).is_empty());
    assert_eq!(load(&view, 9, 1), Load::default());
}

/// Counts of another instance at the limit of their type do not end this one.
#[test]
fn largest_counts() {
    let mut view = View::default();
    for instance in ["a", "b"] {
        let heartbeat = Heartbeat {
            ends: [Position::new(u64::MAX, u64::MAX); 3],
            instance: instance.into(),
            prefills: vec![Prefill {
                age_ms: u32::MAX,
                number: u64::MAX,
                part_ms: u32::MAX,
                targets: vec![1],
                ..Prefill::default()
            }],
            rows: vec![Row {
                gap_ms: u32::MAX,
                running: u32::MAX,
                short: u32::MAX,
                target: 1,
                tokens: u32::MAX,
            }],
            sequence: u64::MAX,
            ..Heartbeat::default()
        };
        assert!(view.receive(&heartbeat, ms(1)));
    }
    let loads = view.loads(ms(2));
    assert_eq!(loads[0].1.running, u32::MAX);
    assert_eq!(loads[0].1.short, u32::MAX);
}
