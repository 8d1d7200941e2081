//! A target in a cold start gets no more than it tolerates, and its limit grows with completed work only.

mod drive;

use drive::{complete, offer, sent, T0};
use jujubehook::target::{Scheduler, Settings, State};

fn scheduler() -> Scheduler {
    let settings = Settings {
        cold_limit: 2,
        limit: 8,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new(settings, T0);
    scheduler.boot(1, T0);
    (0..40).for_each(|request| offer(&mut scheduler, &[(request, 100, 900.0)]));
    scheduler
}

/// Guards against growth by time or by failed requests.
#[test]
fn doubles_with_completed_work() {
    let mut scheduler = scheduler();
    let first = sent(&mut scheduler, T0);
    assert_eq!(first.len(), 2);
    scheduler.finish(first[0], false, T0);
    scheduler.cancel(first[1], T0);
    for limit in [2, 4, 8] {
        let requests = sent(&mut scheduler, T0);
        assert_eq!(requests.len(), limit);
        complete(&mut scheduler, &requests);
    }
    assert_eq!(scheduler.state(), State::Warm);
}

/// Guards against overload of an engine that turned cold while it was full.
#[test]
fn turn_to_cold_counts_running() {
    let mut scheduler = scheduler();
    for _ in 0..2 {
        let requests = sent(&mut scheduler, T0);
        complete(&mut scheduler, &requests);
    }
    let running = sent(&mut scheduler, T0);
    assert_eq!(running.len(), 8);
    scheduler.boot(2, T0);
    assert_eq!(scheduler.state(), State::Cold);
    for request in &running[..6] {
        complete(&mut scheduler, &[*request]);
        assert_eq!(sent(&mut scheduler, T0), Vec::<u64>::new());
    }
    complete(&mut scheduler, &running[6..]);
    assert_eq!(
        sent(&mut scheduler, T0).len(),
        2,
        "work of the old boot does not count"
    );
}

/// Guards against ignoring streams that another owner opened, and gang holds.
#[test]
fn foreign_streams_count() {
    let mut scheduler = scheduler();
    scheduler.foreign(2, 50, T0);
    assert_eq!(sent(&mut scheduler, T0), Vec::<u64>::new());
    scheduler.foreign(0, 0, T0);
    assert!(scheduler.hold(900, 1_000, T0));
    assert_eq!(sent(&mut scheduler, T0).len(), 1);
    scheduler.release(900);
    assert_eq!(sent(&mut scheduler, T0).len(), 1);
}

/// Guards against a new cold limit or a return to service that takes effect late.
#[test]
fn record_applies_at_once() {
    let mut scheduler = scheduler();
    scheduler.configure(Some(1), None, false);
    assert_eq!(sent(&mut scheduler, T0).len(), 1);
    scheduler.configure(Some(3), None, false);
    assert_eq!(sent(&mut scheduler, T0).len(), 2);
    scheduler.configure(Some(3), None, true);
    assert_eq!(scheduler.state(), State::Leaving);
    assert_eq!(scheduler.drain(T0).len(), 37);
    scheduler.configure(Some(3), None, false);
    assert_eq!(scheduler.state(), State::Cold);
}
