//! Guards against parsers that panic, lose fields or use unbounded memory.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fastrand::Rng;
use jujubehook::error::Kind;
use jujubehook::owner::{self, Acquire, Grant, Heartbeat, Release, Request, Table, TargetGrant};
use jujubehook::settings::Settings;
use jujubehook::target::{Load, State};
use jujubehook::wire::{
    self, Answer, Body, Call, Failure, Frame, Hold, Reply, Run, Segment, Validator,
};
use jujubehook_http::Events;
use serde::de::DeserializeOwned;
use serde::Serialize;

const EXAMPLE: &str = include_str!("../examples/jujubehookd.toml");
const SEEDS: u64 = 2_000;

/// Runs `check` with random generators of fixed seeds. Seeds that `bolero` chooses itself would differ between runs.
fn each_seed(check: impl Fn(&mut Rng) + std::panic::RefUnwindSafe) {
    let seen = AtomicU64::new(0);
    bolero::check!()
        .exhaustive()
        .with_generator(0..SEEDS)
        .for_each(|seed| {
            seen.fetch_add(1, Ordering::Relaxed);
            check(&mut Rng::with_seed(*seed));
        });
    assert_eq!(seen.into_inner(), SEEDS);
}

fn bytes(rng: &mut Rng) -> Vec<u8> {
    let length = rng.usize(1..200);
    std::iter::repeat_with(|| rng.u8(..)).take(length).collect()
}

fn list<T>(rng: &mut Rng, mut make: impl FnMut(&mut Rng) -> T) -> Vec<T> {
    (0..rng.usize(..4)).map(|_| make(rng)).collect()
}

/// A number of any magnitude, often the minimum or maximum.
fn number(rng: &mut Rng) -> u64 {
    match rng.u8(..4) {
        0 => 0,
        1 => u64::MAX,
        _ => rng.u64(..) >> rng.u32(..64),
    }
}

fn option<T>(rng: &mut Rng, make: impl FnOnce(&mut Rng) -> T) -> Option<T> {
    rng.bool().then(|| make(rng))
}

fn text(rng: &mut Rng) -> String {
    let length = rng.usize(..40);
    std::iter::repeat_with(|| rng.char(..))
        .take(length)
        .collect()
}

/// Corrupts bytes of a valid message: changes, inserts, cuts off or duplicates some of them.
fn corrupt(rng: &mut Rng, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..rng.usize(1..4) {
        let position = rng.usize(..=bytes.len());
        match rng.u8(..4) {
            0 => bytes.truncate(position),
            1 => bytes.insert(position, rng.u8(..)),
            2 => bytes.extend_from_within(position..),
            _ if position < bytes.len() => bytes[position] = rng.u8(..),
            _ => {}
        }
    }
    bytes
}

fn load(rng: &mut Rng) -> Load {
    Load {
        backlog: Duration::from_millis(number(rng)),
        capacity: number(rng),
        free: number(rng),
        full: rng.bool(),
        holdable: number(rng),
        long: rng.u32(..),
        queued: rng.u32(..),
        running: rng.u32(..),
        state: rng
            .choice([State::Cold, State::Gone, State::Leaving, State::Warm])
            .unwrap(),
    }
}

fn failure(rng: &mut Rng) -> Failure {
    Failure {
        kind: *rng.choice(Kind::ALL).unwrap(),
        message: text(rng),
        retry_after_ms: option(rng, number),
    }
}

fn frame(rng: &mut Rng) -> Frame {
    Frame {
        attempt: number(rng),
        body: match rng.u8(..4) {
            0 => Body::End {
                cached: number(rng),
                count: number(rng),
                load: load(rng),
                target: text(rng),
            },
            1 => Body::Fail {
                failure: failure(rng),
                load: option(rng, load),
            },
            2 => Body::Start { load: load(rng) },
            _ => Body::Token {
                index: number(rng),
                text: text(rng),
            },
        },
        sequence: number(rng),
        time: number(rng),
    }
}

fn run(rng: &mut Rng) -> Run {
    Run {
        adapter: option(rng, text),
        attempt: number(rng),
        context: list(rng, number),
        deadline_ms: number(rng),
        hops: rng.u8(..),
        max_tokens: number(rng),
        model: text(rng),
        prefix: list(rng, number),
        prompt: text(rng),
        request: number(rng),
        start: number(rng),
        target: text(rng),
        weight: rng.u32(..),
        workspace: text(rng),
    }
}

fn call(rng: &mut Rng) -> Call {
    Call {
        attempt: number(rng),
        body: text(rng),
        deadline_ms: number(rng),
        hops: rng.u8(..),
        key: option(rng, text),
        name: text(rng),
        request: number(rng),
        service: text(rng),
        target: option(rng, text),
        workspace: text(rng),
    }
}

fn hold(rng: &mut Rng) -> Hold {
    Hold {
        context: list(rng, number),
        hops: rng.u8(..),
        part: number(rng),
        release: rng.bool(),
        target: text(rng),
        tokens: number(rng),
    }
}

fn segment(rng: &mut Rng) -> Segment {
    Segment {
        context: list(rng, number),
        deadline_ms: number(rng),
        extend: rng.bool(),
        hops: rng.u8(..),
        imports: list(rng, text),
        model: text(rng),
        part: number(rng),
        target: text(rng),
        text: text(rng),
        workspace: text(rng),
    }
}

fn heartbeat(rng: &mut Rng) -> Heartbeat {
    Heartbeat {
        dropped: number(rng),
        echo: number(rng),
        echo_incarnation: number(rng),
        from: name(rng),
        incarnation: number(rng),
        leaving: rng.bool(),
        offset: number(rng),
        sequence: number(rng),
        settled: rng.bool(),
        time: number(rng),
    }
}

fn acquire(rng: &mut Rng) -> Acquire {
    Acquire {
        from: name(rng),
        incarnation: number(rng),
        targets: list(rng, |rng| Request {
            owned: rng.bool(),
            released: list(rng, |rng| Release {
                from: name(rng),
                incarnation: number(rng),
                sequence: number(rng),
            }),
            sequence: number(rng),
            target: name(rng),
        }),
    }
}

fn grant(rng: &mut Rng) -> Grant {
    Grant {
        from: name(rng),
        incarnation: number(rng),
        sequence: number(rng),
        targets: list(rng, |rng| TargetGrant {
            in_flight: rng.u32(..),
            owned: rng.bool(),
            sequence: number(rng),
            target: name(rng),
        }),
        to: name(rng),
        to_incarnation: number(rng),
    }
}

/// One of a few names, so that messages refer to the same instances and targets.
fn name(rng: &mut Rng) -> String {
    rng.choice(["a", "b", "c", ""]).unwrap().into()
}

/// Checks that a message survives encoding and decoding. Corrupted bytes must be rejected, or decode to a message that
/// does.
fn check_round_trip<T>(rng: &mut Rng, message: &T)
where
    T: DeserializeOwned + PartialEq + Serialize + std::fmt::Debug,
{
    let valid = wire::encode(message);
    assert!(!valid.is_empty());
    assert_eq!(&wire::decode::<T>(&valid).unwrap(), message);
    for bytes in [corrupt(rng, &valid), bytes(rng)] {
        match wire::decode::<T>(&bytes) {
            Ok(other) => assert_eq!(wire::decode::<T>(&wire::encode(&other)), Ok(other)),
            Err(error) => assert_eq!(error.kind(), Kind::BadRequest),
        }
    }
}

/// Guards against messages between instances that lose a field or make the decoder panic.
#[test]
fn wire_messages() {
    each_seed(|rng| {
        let message = call(rng);
        check_round_trip(rng, &message);
        let message = frame(rng);
        check_round_trip(rng, &message);
        let message = hold(rng);
        check_round_trip(rng, &message);
        let message = run(rng);
        check_round_trip(rng, &message);
        let message = segment(rng);
        check_round_trip(rng, &message);
        let message = list(rng, number);
        check_round_trip(rng, &message);
        check_round_trip(rng, &());
        let message: Answer<Reply> = match rng.bool() {
            true => Err(failure(rng)),
            false => Ok(Reply {
                body: text(rng),
                status: rng.u16(..),
            }),
        };
        check_round_trip(rng, &message);
    });
}

/// Guards against ownership messages that lose a field or make the decoder panic.
#[test]
fn owner_messages() {
    each_seed(|rng| {
        let message = acquire(rng);
        check_round_trip(rng, &message);
        let message = grant(rng);
        check_round_trip(rng, &message);
    });
}

/// Guards against heartbeats and ownership messages that lose a field or make the ownership table panic.
#[test]
fn heartbeats() {
    each_seed(|rng| {
        let settings = owner::Settings::default();
        let mut now = Duration::ZERO;
        let mut table = Table::new("a".into(), number(rng), settings, now);
        table.set_targets(list(rng, name), now);
        for _ in 0..20 {
            now += Duration::from_millis(rng.u64(..2_000));
            let heartbeat = heartbeat(rng);
            let valid = rmp_serde::to_vec(&heartbeat).unwrap();
            assert_eq!(
                rmp_serde::from_slice::<Heartbeat>(&valid).unwrap(),
                heartbeat
            );
            let _ = table.receive_heartbeat(&heartbeat, now);
            if let Ok(heartbeat) = rmp_serde::from_slice::<Heartbeat>(&corrupt(rng, &valid)) {
                let _ = table.receive_heartbeat(&heartbeat, now);
            }
            let _ = table.answer_acquire(&acquire(rng), |_| 1, now);
            let _ = table.receive_grant(&grant(rng), now);
            let _ = table.next_heartbeat(&name(rng), now);
            let _ = table.tick(now);
            let _ = (table.live(now), table.peer_ahead(number(rng), now));
        }
    });
}

/// Guards against wrong lengths and truncated streams that stop the frame reader, and against frames that change in
/// transit.
#[test]
fn frame_streams() {
    each_seed(|rng| {
        let frames = list(rng, frame);
        let stream: Vec<u8> = frames.iter().flat_map(wire::encode_frame).collect();
        smol::block_on(async {
            let mut reader = &stream[..];
            for frame in &frames {
                assert_eq!(
                    wire::read_frame(&mut reader).await.unwrap().as_ref(),
                    Some(frame)
                );
            }
            assert_eq!(wire::read_frame(&mut reader).await, Ok(None));
            let corrupted = corrupt(rng, &stream);
            for bytes in [corrupted, bytes(rng)] {
                let mut reader = &bytes[..];
                let mut validator = Validator::new(number(rng), number(rng));
                let mut left = bytes.len();
                while let Ok(Some(frame)) = wire::read_frame(&mut reader).await {
                    let _ = validator.accept(&frame);
                    assert!(reader.len() < left, "a frame of zero bytes");
                    left = reader.len();
                }
            }
        });
    });
}

/// Guards against event streams of a target that stop the reader, and against events that change in transit.
#[test]
fn event_streams() {
    each_seed(|rng| {
        let line = |rng: &mut Rng| text(rng).replace(['\n', '\r'], "").trim().to_owned();
        let events = list(rng, line);
        let ends = ["\n", "\r\n", "\n\n", "\n: comment\n\n"];
        let mut stream = String::new();
        for event in &events {
            stream.push_str(&format!("data: {event}{}", rng.choice(ends).unwrap()));
        }
        smol::block_on(async {
            let mut reader = Events::new(stream.as_bytes());
            for event in &events {
                assert_eq!(reader.next().await.unwrap().as_ref(), Some(event));
            }
            assert_eq!(reader.next().await.unwrap(), None);
            let corrupted = corrupt(rng, stream.as_bytes());
            for bytes in [corrupted, bytes(rng)] {
                let mut reader = Events::new(&bytes[..]);
                let mut count = 0;
                while let Ok(Some(_)) = reader.next().await {
                    count += 1;
                }
                assert!(count <= bytes.len());
            }
        });
    });
}

/// Guards against an endless event that is buffered without bound.
#[test]
fn endless_event() {
    let stream = futures_lite::io::repeat(b'a');
    let mut reader = Events::new(futures_lite::io::BufReader::new(stream));
    smol::block_on(reader.next()).unwrap_err();
}

/// Guards against settings files that make the parser panic, and against values out of range that are accepted.
#[test]
fn settings_files() {
    let accepted = AtomicU64::new(0);
    each_seed(|rng| {
        let mut lines: Vec<_> = EXAMPLE.lines().map(str::to_owned).collect();
        for _ in 0..rng.usize(1..4) {
            let index = rng.usize(..lines.len());
            let corrupted = match lines[index]
                .strip_prefix("# ")
                .and_then(|line| line.split_once('='))
            {
                Some((key, _)) if rng.bool() => format!("{key}= {}", number(rng)),
                Some(_) | None => {
                    let corrupted = corrupt(rng, lines[index].as_bytes());
                    String::from_utf8_lossy(&corrupted).into_owned()
                }
            };
            lines[index] = corrupted;
        }
        let any = String::from_utf8_lossy(&bytes(rng)).into_owned();
        for text in [lines.join("\n"), text(rng), any] {
            match Settings::parse("a.toml", &text) {
                Ok(settings) => {
                    accepted.fetch_add(1, Ordering::Relaxed);
                    let network = &settings.network;
                    assert!(network.suspicion + network.margin < network.lease);
                    assert!(settings.limits.default_deadline <= settings.limits.max_deadline);
                    assert!(settings.peer_key.is_ascii() && settings.peer_key.len() >= 16);
                }
                Err(error) => assert!(error.to_string().contains("`a.toml` line ")),
            }
        }
    });
    // Most changes affect a comment; both outcomes must occur.
    let accepted = accepted.into_inner();
    assert!(accepted > SEEDS / 4 && accepted < SEEDS, "{accepted}");
}
