//! Order of the queue: by arrival with all mechanisms off, otherwise by slack, with the chunks of long prompts
//! interleaved.

mod drive;

use drive::{at, complete, dispatch_all, offer, request, warm, T0};
use jujubehook::target::{Scheduler, Settings};

/// The order in which requests are dispatched, one at a time.
fn order(scheduler: &mut Scheduler) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(dispatch) = scheduler.next(T0) {
        order.push(dispatch.request);
        match dispatch.last {
            true => complete(scheduler, &[dispatch.request]),
            false => scheduler.finish_chunk(dispatch.request, T0),
        }
    }
    order
}

fn one_slot(mut settings: Settings) -> Scheduler {
    settings.limit = 1;
    warm(settings)
}

/// Guards against reordering with all mechanisms off, also while the first request waits for memory.
#[test]
fn all_off_is_arrival_order() {
    let requests = [(1, 300_000, 900.0), (2, 200_000, 5_000.0), (3, 100, 200.0)];
    let mut scheduler = warm(Settings::default().fifo());
    offer(&mut scheduler, &requests);
    assert_eq!(dispatch_all(&mut scheduler, T0), [1]);
    scheduler.record_first_token(1, T0);
    assert_eq!(dispatch_all(&mut scheduler, T0), Vec::<u64>::new());
    complete(&mut scheduler, &[1]);
    assert_eq!(order(&mut scheduler), [2, 3]);
}

/// Guards against an order that ignores service time or deadline, and against requests that starve behind later ones.
#[test]
fn least_slack_first() {
    let settings = Settings {
        slack: true,
        ..Settings::default().fifo()
    };
    let mut scheduler = one_slot(settings);
    let requests = [(1, 100, 30.0), (2, 100, 10.0), (3, 100_000, 12.0)];
    offer(&mut scheduler, &requests);
    let late = at(9.0);
    scheduler.offer(request(4, 100, 30.0), late).unwrap();
    assert_eq!(order(&mut scheduler), [3, 2, 1, 4]);
}

/// Guards against a chunked prompt that blocks the engine until it ends, and against chunks out of order.
#[test]
fn chunks_interleave() {
    let settings = Settings {
        chunk: 4_000,
        chunking: true,
        ..Settings::default().fifo()
    };
    let mut scheduler = one_slot(settings);
    offer(&mut scheduler, &[(1, 12_000, 900.0), (2, 100, 900.0)]);
    assert_eq!(order(&mut scheduler), [1, 2, 1, 1]);
}

/// Guards against a deadlock: a prefill between two chunks holds the memory that the first request of the queue waits
/// for.
#[test]
fn prefill_overtakes_blocked_head() {
    let settings = Settings {
        chunking: true,
        memory: 50_000,
        ..Settings::default().fifo()
    };
    for slack in [false, true] {
        let mut scheduler = one_slot(Settings {
            slack,
            ..settings.clone()
        });
        offer(&mut scheduler, &[(1, 40_000, 900.0)]);
        assert_eq!(dispatch_all(&mut scheduler, T0), [1]);
        offer(&mut scheduler, &[(2, 45_000, 100.0)]);
        scheduler.finish_chunk(1, T0);
        assert_eq!(dispatch_all(&mut scheduler, at(95.0)), [1], "slack {slack}");
    }
}

/// Guards against chunking short prompts, since each chunk would wait behind other work.
#[test]
fn short_is_whole() {
    let mut scheduler = warm(Settings {
        chunk: 1_000,
        ..Settings::default()
    });
    offer(&mut scheduler, &[(1, 8_000, 900.0)]);
    let chunk = scheduler.next(T0).map(|chunk| (chunk.to, chunk.last));
    assert_eq!(chunk, Some((8_000, true)));
    offer(&mut scheduler, &[(2, 8_001, 900.0)]);
    scheduler.record_first_token(1, T0);
    let chunk = scheduler.next(T0).map(|chunk| (chunk.to, chunk.last));
    assert_eq!(chunk, Some((1_000, false)));
}
