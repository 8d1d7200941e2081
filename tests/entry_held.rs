//! Guards against memory that slow callers and targets use up: bytes that are not counted or not released, limits that
//! are exceeded, and streams that are read ahead in another order or beyond their end.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{stream, Stream, StreamExt};
use jujubehook::entry::held::{Held, Kind, ReadAhead, Uploads};
use jujubehook::entry::platform::Failure;
use jujubehook::entry::{Metrics, Settings};

type Events = Result<Bytes, Failure>;

/// Bytes held with a limit.
fn held(max_bytes: Option<u64>) -> Rc<Held> {
    let settings = Settings {
        held_max_bytes: max_bytes,
        ..Settings::default()
    };
    Rc::new(Held::new(&Metrics::new().unwrap(), &settings))
}

/// Events of this size, and then silence.
fn endless(count: usize, size: usize) -> impl Stream<Item = Events> {
    let events = stream::repeat(Ok(Bytes::from(vec![b'x'; size]))).take(count);
    events.chain(stream::once_future(pending()))
}

fn next(ahead: &mut ReadAhead) -> Poll<Option<Events>> {
    ahead.poll_next(&mut Context::from_waker(Waker::noop()))
}

fn read(ahead: &mut ReadAhead) {
    ahead.read(&mut Context::from_waker(Waker::noop()));
}

/// All kinds count towards the limit, and a drop releases what was counted.
#[test]
fn counted_and_released() {
    let held = held(Some(1_000));
    let mut counts: Vec<_> = Kind::ALL.map(|kind| held.count(kind)).into();
    for count in &mut counts {
        count.add(400);
    }
    assert_eq!(held.total(), 1_200);
    assert!(!held.has_room());
    counts[0].remove(300);
    assert!(held.has_room());
    drop(counts);
    assert_eq!(held.total(), 0);
}

/// Bytes stay counted until their last copy is dropped.
#[test]
fn kept_with_copies() {
    let held = held(Some(1_000));
    let mut count = held.count(Kind::Body);
    count.add(5);
    let bytes = count.keep(Bytes::from_static(b"bytes"));
    let copy = bytes.slice(1..3);
    drop(bytes);
    assert_eq!((&copy[..], held.total()), (&b"yt"[..], 5));
    drop(copy);
    assert_eq!(held.total(), 0);
}

/// Without a limit there is always room; a limit can be changed while bytes are held.
#[test]
fn limit_changes() {
    let held = held(None);
    let mut count = held.count(Kind::Answer);
    count.add(1 << 40);
    assert!(held.has_room());
    held.set_limit(Some(1 << 20));
    assert!(!held.has_room());
}

/// Counts beyond their type do not wrap around, and as much is released as was counted.
#[test]
fn saturates() {
    let held = held(Some(1_000));
    let (mut one, mut two) = (held.count(Kind::Body), held.count(Kind::Body));
    for count in [&mut one, &mut two] {
        count.add(usize::MAX);
        count.add(usize::MAX);
    }
    assert!(!held.has_room());
    one.remove(usize::MAX);
    assert_eq!(held.total(), two.bytes() as u64);
    drop(two);
    assert_eq!(held.total(), 0);
    let uploads = Uploads::default();
    let (huge, more) = (uploads.start(1, usize::MAX), uploads.start(1, usize::MAX));
    assert_eq!(uploads.bytes(1), u64::MAX);
    drop(huge);
    drop(more);
    assert_eq!(uploads.bytes(1), 0);
}

/// Unanswered bytes are counted for their target only, until its answer.
#[test]
fn uploads_by_target() {
    let uploads = Uploads::default();
    let (one, two) = (uploads.start(1, 70), uploads.start(1, 30));
    let other = uploads.start(2, 5);
    assert_eq!((uploads.bytes(1), uploads.bytes(2)), (100, 5));
    drop(one);
    assert_eq!((uploads.bytes(1), uploads.bytes(2)), (30, 5));
    drop((two, other));
    assert_eq!((uploads.bytes(1), uploads.bytes(2)), (0, 0));
}

/// Refusals at the limit fill the log with one line a second at most.
#[test]
fn one_line_a_second() {
    let held = held(Some(0));
    let lines = (0..25).filter(|tenth| held.take_line(Duration::from_millis(tenth * 100)));
    assert_eq!(lines.collect::<Vec<_>>(), [0, 10, 20]);
}

/// A stream is read ahead by 64 KiB at most, by less at the limit of the instance, and goes on when its caller reads.
#[test]
fn ahead_within_limits() {
    for (max_bytes, expected) in [(1 << 20, 64 << 10), (10 << 10, 10 << 10)] {
        let held = held(Some(max_bytes));
        let mut ahead = ReadAhead::new(endless(200, 1 << 10), held.clone());
        read(&mut ahead);
        assert_eq!(held.total(), expected);
        assert!(matches!(next(&mut ahead), Poll::Ready(Some(Ok(_)))));
        assert_eq!(held.total(), expected - (1 << 10));
        read(&mut ahead);
        assert_eq!(held.total(), expected);
        drop(ahead);
        assert_eq!(held.total(), 0);
    }
}

/// A caller that waits for the next event gets it directly: nothing is queued for it.
#[test]
fn not_ahead_of_fast_caller() {
    let held = held(Some(1 << 20));
    let mut polls = 0;
    let events = stream::poll_fn(move |_| {
        polls += 1;
        match polls {
            1 => Poll::Pending,
            _ => Poll::Ready(Some(Ok(Bytes::from_static(b"x")))),
        }
    });
    let mut ahead = ReadAhead::new(events, held.clone());
    assert!(next(&mut ahead).is_pending());
    read(&mut ahead);
    assert_eq!(held.total(), 0);
    // The caller's connection did not ask again: it cannot be written to.
    read(&mut ahead);
    assert!(held.total() > 0);
}

/// Events come in order, then the failure, then the end; a failed or ended stream is not polled again.
#[test]
fn failure_after_events() {
    let list: Vec<Events> = vec![
        Ok(Bytes::from_static(b"1")),
        Ok(Bytes::from_static(b"2")),
        Err(Failure::Broken),
        Ok(Bytes::from_static(b"3")),
    ];
    let mut ahead = ReadAhead::new(stream::iter(list.clone()), held(Some(1 << 20)));
    read(&mut ahead);
    for expected in &list[..3] {
        assert_eq!(next(&mut ahead), Poll::Ready(Some(expected.clone())));
    }
    assert_eq!(next(&mut ahead), Poll::Ready(None));
}

/// What the stream uses (its slot at the target) is released when it has ended, before the caller has read it; and at
/// once if the caller leaves before that.
#[test]
fn released_at_the_end() {
    struct Slot(Rc<Cell<bool>>);
    impl Drop for Slot {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    for ends in [true, false] {
        let is_released = Rc::new(Cell::new(false));
        let slot = Slot(is_released.clone());
        let events = endless(3, 10).take(if ends { 3 } else { 4 });
        let events = events.inspect(move |_| {
            let _ = &slot;
        });
        let mut ahead = ReadAhead::new(events, held(Some(1 << 20)));
        read(&mut ahead);
        assert_eq!(is_released.get(), ends);
        let mut events = 0;
        while let (true, Poll::Ready(Some(_))) = (ends, next(&mut ahead)) {
            events += 1;
        }
        assert_eq!(events, if ends { 3 } else { 0 });
        drop(ahead);
        assert!(is_released.get());
    }
}
