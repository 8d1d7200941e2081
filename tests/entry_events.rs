//! Guards against streams with missing, repeated or incomplete events.

use jujubehook::entry::Events;

/// An event that arrives in several chunks is forwarded in one piece.
#[test]
fn events_stay_whole() {
    let mut events = Events::default();
    assert!(events.push(b"id: 1\ndata: a").unwrap().is_empty());
    assert!(!events.is_whole());
    let complete = events.push(b"b\n\nid: 2\n").unwrap();
    assert_eq!(&complete[..], b"id: 1\ndata: ab\n\n");
    assert_eq!(events.last(), Some(1));
}

/// A target that fails in the middle of an event leaves nothing in the stream that another target continues.
#[test]
fn discard_drops_partial_event() {
    let mut events = Events::after(Some(4));
    events.push(b"id: 5\ndata: x\n\nid: 6\nda").unwrap();
    events.discard_partial();
    let mut next = Events::after(events.last());
    assert_eq!(
        &next.push(b"id: 6\ndata: y\n\n").unwrap()[..],
        b"id: 6\ndata: y\n\n"
    );
}

/// A stream that skips or repeats an event, or that has an event without an id, is broken.
#[test]
fn gaps_are_errors() {
    for bad in [
        &b"id: 7\n\n"[..],
        b"id: 4\n\n",
        b"data: x\n\n",
        b"id: x\n\n",
    ] {
        assert!(Events::after(Some(4)).push(bad).is_err(), "{bad:?}");
    }
}

/// An event without an end does not fill the memory.
#[test]
fn endless_event_is_error() {
    let mut events = Events::default();
    let chunk = vec![b'x'; 100_000];
    assert!((0..4).any(|_| events.push(&chunk).is_err()));
}

/// The events do not depend on how a stream is split into chunks.
#[test]
fn chunks_do_not_matter() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(data, cuts)| {
            let mut text: Vec<u8> = Vec::new();
            for (number, byte) in data.iter().enumerate() {
                text.extend(format!("id: {number}\ndata: {byte}\n\n").bytes());
            }
            let mut events = Events::default();
            let mut out: Vec<u8> = Vec::new();
            let mut rest = &text[..];
            for cut in cuts {
                let (chunk, after) = rest.split_at(rest.len().min(usize::from(*cut)));
                out.extend_from_slice(&events.push(chunk).unwrap());
                rest = after;
            }
            out.extend_from_slice(&events.push(rest).unwrap());
            assert_eq!(out, text);
        });
}

/// Lines that are no fields end a stream before they reach the caller: an error that a target writes behind a part of an
/// event, or a second run that begins there.
#[test]
fn foreign_lines_are_errors() {
    for bad in [
        &b"id: 5\ndata: xHTTP/1.1 500 Broken\r\nContent-Length: 2\r\n\r\n"[..],
        b"id: 5\ndata: x\nHTTP/1.1 500 Broken\n\n",
        b"id: 5\r\ndata: x\n\n",
        b"id: 5\ndata: x\ncontent-length: 2\n\n",
        b"id: 5\ndata: xid: 5\nid: 5\ndata: y\n\n",
        b"id: 5\nx-weight: 3\n\n",
        b"id: 5\ndata: x\n\n\r\n",
    ] {
        assert!(Events::after(Some(4)).push(bad).is_err(), "{bad:?}");
    }
    for good in [
        &b"id: 5\ndata: x\n\n"[..],
        b": note\nid: 5\nevent: token\nretry: 3\ndata: x\ndata\n\n",
        b"id:5\r\ndata:x\r\n\r\n",
        b"x-weight: 3\nid: 5\ndata: x\n\n",
    ] {
        let mut events = Events::after(Some(4)).with_fields(&["x-weight"]);
        assert_eq!(&events.push(good).unwrap()[..], good);
    }
}

/// No event follows the largest id.
#[test]
fn last_id() {
    for id in ["0", "18446744073709551615", "18446744073709551616"] {
        let event = format!("id: {id}\n\n");
        let outcome = Events::after(Some(u64::MAX)).push(event.as_bytes());
        assert!(outcome.is_err(), "{id}");
    }
}
