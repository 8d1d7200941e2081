//! Idempotency keys, claims in log order, and issued keys.

use jujubehook::claim::{
    decode, encode, partition, scoped, Entry, Issuer, Key, Ledger, Note, Outcome, Settings, Step,
    PARTITIONS,
};
use jujubehook::error::Kind;

/// Factor that spreads the seeds over all bits; the generator turns small seeds into empty input.
const SEED_FACTOR: u128 = 0x0001_9e37_79b9_7f4a_7c15_f39c_c060_5ced;
const KEY: &str = "1000-sale w";
const NOW: u64 = 1_000_000;
const SETTINGS: fn() -> Settings = Settings::default;

fn append(ledger: &mut Ledger, nonce: u64) -> Entry {
    match ledger.begin(KEY, nonce, NOW) {
        Step::Append { entry } => entry,
        step => panic!("no append: {step:?}"),
    }
}

fn ledger(me: &str) -> Ledger {
    Ledger::new(me.into(), 7, SETTINGS())
}

fn outcome(body: &str) -> Outcome {
    Outcome {
        body: body.into(),
        status: 200,
    }
}

fn refuse(kind: Kind) -> Step {
    Step::Refuse { kind }
}

/// A ledger that has dispatched `KEY` with nonce 1.
fn dispatched(me: &str) -> Ledger {
    let mut ledger = ledger(me);
    let entry = append(&mut ledger, 1);
    ledger.apply(1, &entry, NOW);
    assert_eq!(ledger.dispatch(KEY, 1, NOW), Step::Dispatch);
    ledger
}

/// Guards against claims for malformed keys, for keys outside of their lifetime, and for issued keys with more than one
/// spelling.
#[test]
fn key_forms() {
    assert_eq!(
        Key::parse_any_age("1000-sale"),
        Ok(Key::Caller { time: 1_000 })
    );
    let issued = Issuer::new("box-office-2".into(), 0xbeef, SETTINGS()).issue(5, NOW);
    assert_eq!(issued, "k-box-office-2-beef-1000-0000000000000005");
    let key = Key::Issued {
        incarnation: 0xbeef,
        instance: "box-office-2".into(),
        nonce: 5,
        time: 1_000,
    };
    assert_eq!(Key::parse_any_age(&issued), Ok(key));
    let long = format!("1-{}", "x".repeat(127));
    let bad = [
        "",
        "-",
        "1000-",
        "x-1",
        "+1-x",
        "1234567890123-x",
        "1-a b",
        "1-é",
        &long,
        "k-a-1-1",
        "k-a-01-1-0",
        "k--1-1-1",
    ];
    for text in bad {
        assert_eq!(
            Key::parse_any_age(text).map_err(|error| error.kind()),
            Err(Kind::BadRequest),
            "{text}"
        );
    }
    let check = |now| {
        Key::parse("1000-sale", &SETTINGS(), now)
            .map_err(|error| error.kind())
            .map(|key| key.time())
    };
    assert_eq!(
        (check(4_599_999), check(4_600_000)),
        (Ok(1_000), Err(Kind::KeyExpired))
    );
    assert_eq!(
        (check(940_000), check(939_999)),
        (Ok(1_000), Err(Kind::KeyExpired))
    );
}

/// Guards against input that makes the parsers panic.
#[test]
fn arbitrary_text() {
    for seed in 1..=2_000 {
        std::env::set_var("BOLERO_RANDOM_SEED", (seed * SEED_FACTOR).to_string());
        bolero::check!()
            .with_iterations(0)
            .for_each(|bytes: &[u8]| {
                let text = String::from_utf8_lossy(bytes);
                let _ = decode(&text);
                for text in [
                    text.clone(),
                    format!("k-{text}").into(),
                    format!("k-a-1-{text}-0").into(),
                ] {
                    let _ = Key::parse_any_age(&text);
                    let _ = ledger("a").begin(&text, 1, NOW);
                    let _ = ledger("a").read(1, &text, NOW);
                }
            });
    }
}

/// Guards against equal keys of two workspaces that count as one, and against partitions that change between builds.
#[test]
fn scope_and_partition() {
    assert_ne!(scoped("w", "1000-sale"), scoped("v", "1000-sale"));
    assert_eq!(
        partition("1000-sale w"),
        xxhash_rust::xxh3::xxh3_64(b"1000-sale w") % PARTITIONS
    );
}

/// Guards against two instances that run the same key, and against repeats that do not get the outcome.
#[test]
fn first_claim_runs() {
    let (mut a, mut b) = (ledger("a"), ledger("b"));
    let (first, second) = (append(&mut a, 1), append(&mut b, 2));
    assert_eq!(
        (a.poll(KEY, 1, NOW), b.poll(KEY, 2, NOW)),
        (Step::Wait, Step::Wait)
    );
    for ledger in [&mut a, &mut b] {
        ledger
            .read(1, &encode(&[first.clone(), second.clone()]), NOW)
            .unwrap();
    }
    assert_eq!(
        (a.poll(KEY, 1, NOW), b.poll(KEY, 2, NOW)),
        (Step::Dispatch, Step::Wait)
    );
    assert_eq!(b.dispatch(KEY, 2, NOW), refuse(Kind::Unavailable));
    assert_eq!(a.dispatch(KEY, 1, NOW), Step::Dispatch);
    assert_eq!(a.dispatch(KEY, 1, NOW), refuse(Kind::OutcomeUnknown));
    let note = a.finish(KEY, 1, Some(outcome("seat 7"))).unwrap();
    b.apply(2, &note, NOW);
    for ledger in [&mut a, &mut b] {
        assert_eq!(
            ledger.begin(KEY, 9, NOW),
            Step::Answer {
                outcome: outcome("seat 7")
            }
        );
    }
}

/// Guards against repeats that wait forever for a dead claimer.
#[test]
fn dead_claimer() {
    let (mut a, mut b) = (ledger("a"), ledger("b"));
    let entry = append(&mut a, 1);
    b.apply(1, &entry, NOW);
    assert_eq!(b.begin(KEY, 2, NOW), Step::Wait);
    assert_eq!(b.poll(KEY, 2, NOW + 69_999), Step::Wait);
    assert_eq!(b.poll(KEY, 2, NOW + 70_000), refuse(Kind::OutcomeUnknown));
    let mut restarted = Ledger::new("a".into(), 8, SETTINGS());
    restarted.apply(1, &entry, NOW);
    assert_eq!(restarted.begin(KEY, 1, NOW), Step::Wait);
    assert_eq!(restarted.dispatch(KEY, 1, NOW), refuse(Kind::Unavailable));
}

/// Guards against a dispatch after a pause of the claimer, and against a key that stays blocked although nothing was
/// run.
#[test]
fn paused_claimer() {
    let (mut a, mut b) = (ledger("a"), ledger("b"));
    let entry = append(&mut a, 1);
    a.apply(1, &entry, NOW);
    b.apply(1, &entry, NOW);
    assert_eq!(a.poll(KEY, 1, NOW + 9_999), Step::Dispatch);
    assert_eq!(a.dispatch(KEY, 1, NOW + 10_000), refuse(Kind::Unavailable));
    assert_eq!(
        a.dispatch(KEY, 1, NOW),
        refuse(Kind::Unavailable),
        "the clock stepped back"
    );
    let note = a.mark_unsent(KEY, 1).unwrap();
    assert_eq!(note.note, Note::Unsent);
    b.apply(2, &note, NOW);
    let Step::Append { entry: second } = b.begin(KEY, 2, NOW) else {
        panic!("key is blocked")
    };
    b.apply(3, &second, NOW);
    b.apply(4, &note, NOW);
    b.apply(4, &entry, NOW);
    assert_eq!(b.dispatch(KEY, 2, NOW), Step::Dispatch);
}

/// Guards against refusing a call as "not run" whose claim runs later, after a lost reply or an outage of the log.
#[test]
fn append_faults() {
    let mut certain = ledger("a");
    let entry = append(&mut certain, 1);
    assert_eq!(certain.begin(KEY, 2, NOW), Step::Wait);
    assert_eq!(certain.append_failed(KEY, 1), refuse(Kind::Unavailable));
    assert_eq!(certain.poll(KEY, 2, NOW), refuse(Kind::Unavailable));
    certain.apply(1, &entry, NOW);
    assert_eq!(certain.dispatch(KEY, 1, NOW), refuse(Kind::Unavailable));
    let mut lost = ledger("a");
    let entry = append(&mut lost, 1);
    assert_eq!(lost.append_unconfirmed(KEY, 1, NOW), Step::Wait);
    lost.apply(1, &entry, NOW);
    assert_eq!(lost.poll(KEY, 1, NOW), Step::Dispatch);
    let mut late = ledger("a");
    let entry = append(&mut late, 1);
    assert_eq!(late.poll(KEY, 1, NOW + 10_000), refuse(Kind::Unavailable));
    let void = late.mark_unsent(KEY, 1).unwrap();
    late.apply(1, &void, NOW);
    late.apply(2, &entry, NOW);
    assert!(
        matches!(late.begin(KEY, 2, NOW), Step::Append { .. }),
        "a void claim blocks the key"
    );
}

/// Guards against running a key again when the log no longer holds its first claim.
#[test]
fn retention() {
    let mut new = ledger("b");
    new.truncate(5, NOW);
    assert_eq!(new.begin(KEY, 1, NOW), refuse(Kind::OutcomeUnknown));
    assert_eq!(
        new.begin("1120-later w", 1, NOW + 60_000),
        refuse(Kind::OutcomeUnknown)
    );
    assert!(matches!(
        new.begin("1121-later w", 1, NOW + 61_000),
        Step::Append { .. }
    ));
    let mut behind = ledger("b");
    let entry = append(&mut behind, 1);
    behind.read(9, &encode(&[entry]), NOW).unwrap();
    assert_eq!(behind.dispatch(KEY, 1, NOW), refuse(Kind::Unavailable));
    let mut unreadable = ledger("b");
    assert_eq!(
        unreadable
            .read(1, "[{\"newer\":1}]", NOW)
            .unwrap_err()
            .kind(),
        Kind::BadRequest
    );
    assert_eq!(
        (unreadable.offset(), unreadable.begin(KEY, 1, NOW)),
        (1, refuse(Kind::OutcomeUnknown))
    );
    let mut promised = Ledger::new(
        "b".into(),
        7,
        Settings {
            retention_ms: 7_200_000,
            ..SETTINGS()
        },
    );
    promised.truncate(5, 8_000_000);
    assert!(matches!(
        promised.begin("7000-sale w", 1, 8_000_000),
        Step::Append { .. }
    ));
}

/// Guards against unbounded memory, and against a truncated outcome that is answered as if it were complete.
#[test]
fn memory_bounded() {
    let mut large = dispatched("a");
    let note = large
        .finish(KEY, 1, Some(outcome(&"x".repeat(65_537))))
        .unwrap();
    assert_eq!(note.note, Note::Unknown);
    assert_eq!(large.begin(KEY, 2, NOW), refuse(Kind::OutcomeUnknown));
    let mut full = Ledger::new(
        "a".into(),
        7,
        Settings {
            max_keys: 1,
            max_total_body_bytes: 3,
            ..SETTINGS()
        },
    );
    let entry = append(&mut full, 1);
    assert_eq!(full.begin("1001-b w", 1, NOW), refuse(Kind::Overloaded));
    let other = Entry {
        key: "1001-b w".into(),
        claimer: "b".into(),
        ..entry.clone()
    };
    for (offset, entry) in [entry, other].into_iter().enumerate() {
        full.apply(2 * offset as u64 + 1, &entry, NOW);
        full.apply(
            2 * offset as u64 + 2,
            &Entry {
                note: Note::Outcome(outcome("ab")),
                ..entry
            },
            NOW,
        );
    }
    assert_eq!(full.poll(KEY, 1, NOW), refuse(Kind::OutcomeUnknown));
    assert_eq!(
        full.poll("1001-b w", 1, NOW),
        Step::Answer {
            outcome: outcome("ab")
        }
    );
    assert_eq!(
        full.begin(KEY, 3, NOW + 3_600_000),
        refuse(Kind::OutcomeUnknown),
        "kept for the clock skew"
    );
    assert_eq!(
        full.begin(KEY, 3, NOW + 3_661_000),
        refuse(Kind::KeyExpired)
    );
}

/// Guards against an issued key that runs twice or in a process other than its issuer.
#[test]
fn issued_keys() {
    let mut issuer = Issuer::new("a".into(), 7, SETTINGS());
    let key = scoped("w", &issuer.issue(5, NOW));
    assert_eq!(issuer.begin(&key, 1, NOW), Step::Dispatch);
    assert_eq!(issuer.begin(&key, 2, NOW), Step::Wait);
    assert_eq!(issuer.dispatch(&key, 1, NOW), Step::Dispatch);
    issuer.finish(&key, 1, Some(outcome("seat 7")), NOW);
    assert_eq!(
        issuer.poll(&key, 2, NOW),
        Step::Answer {
            outcome: outcome("seat 7")
        }
    );
    assert_eq!(
        Issuer::new("a".into(), 8, SETTINGS()).begin(&key, 1, NOW),
        refuse(Kind::OutcomeUnknown)
    );
    assert_eq!(issuer.begin(KEY, 1, NOW), refuse(Kind::BadRequest));
    let key = scoped("w", &issuer.issue(6, NOW));
    assert_eq!(issuer.begin(&key, 1, NOW), Step::Dispatch);
    issuer.mark_unsent(&key, 1, NOW);
    assert_eq!(issuer.dispatch(&key, 1, NOW), refuse(Kind::Unavailable));
    assert_eq!(issuer.begin(&key, 2, NOW), Step::Dispatch);
}
