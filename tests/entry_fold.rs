//! Guards against keys that return to an older value, regardless of the order and source of records.

use jujubehook::entry::{Fold, Position, Record};

fn record(key: &str, offset: u64, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        position: at(offset),
        rank: None,
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

/// Position in a log that was never restored from a copy.
fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

/// A slow answer, or one from an instance that is behind, delivers an older value after a newer one.
#[test]
fn older_is_ignored() {
    let mut fold = Fold::default();
    assert!(fold.apply(record("config", 7, Some("new"))).is_some());
    assert!(fold.apply(record("config", 3, Some("old"))).is_none());
    assert_eq!(fold.value("config"), Some(&b"new"[..]));
    assert_eq!(fold.end(), at(8));
}

/// When the log no longer keeps an instance's offset, the whole state shows which keys were removed.
#[test]
fn missing_keys_are_removed() {
    let mut fold = Fold::default();
    fold.replace(
        vec![record("a", 1, Some("1")), record("b", 2, Some("2"))],
        at(3),
    );
    let changed = fold.replace(vec![record("b", 2, Some("2"))], at(9));
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].key.as_str(), &changed[0].value), ("a", &None));
}

/// A whole state from a replica of the log that lags behind must not remove newer keys.
#[test]
fn stale_state_removes_nothing() {
    let mut fold = Fold::default();
    fold.replace(vec![record("a", 1, Some("1"))], at(2));
    fold.apply(record("b", 5, Some("2")));
    assert!(fold
        .replace(vec![record("a", 1, Some("1"))], at(3))
        .is_empty());
    assert!(fold.value("b").is_some());
    assert_eq!(fold.end(), at(6));
}

/// A removal must win over the value that it removed, even if that value arrives later from another instance.
#[test]
fn removal_is_remembered() {
    let mut fold = Fold::default();
    fold.apply(record("a", 1, Some("1")));
    fold.apply(record("a", 4, None));
    assert!(fold.apply(record("a", 1, Some("1"))).is_none());
    assert_eq!(fold.value("a"), None);
    assert_eq!(fold.since(at(0)), Some(vec![record("a", 4, None)]));
}

/// An instance that starts after a removal does not know of it. What it passes on must still remove the key at an
/// instance that has seen the value.
#[test]
fn late_starter_passes_removals_on() {
    let mut early = Fold::default();
    early.replace(
        vec![record("a", 1, Some("1")), record("b", 2, Some("2"))],
        at(3),
    );
    // `a` is removed at offset 3, and `c` is added at offset 4.
    let mut late = Fold::default();
    late.replace(vec![record("b", 2, Some("2"))], at(4));
    late.apply(record("c", 4, Some("3")));
    late.advance(at(5));
    assert_eq!(late.since(early.end()), None);
    early.replace(late.state(), late.end());
    assert_eq!(early.value("a"), None);
    assert!(early.value("c").is_some());
}

/// A replica of the log that lags behind delivers a value that was removed before this instance started.
#[test]
fn stale_state_brings_nothing_back() {
    let mut fold = Fold::default();
    fold.replace(Vec::new(), at(2));
    assert!(fold
        .replace(vec![record("a", 0, Some("1"))], at(1))
        .is_empty());
    assert_eq!(fold.value("a"), None);
}

/// Pages of the newest records are not a snapshot: a later page may hold a record that is newer than the end of the
/// first page. The records between the two must still be read.
#[test]
fn later_page_skips_nothing() {
    let mut fold = Fold::default();
    // `a` changes at offset 2 and `b` at offset 3, after the first page and before the second one.
    fold.replace(
        vec![record("a", 0, Some("old")), record("b", 3, Some("new"))],
        at(2),
    );
    assert_eq!(fold.end(), at(2));
    fold.apply(record("a", 2, Some("new")));
    fold.apply(record("b", 3, Some("new")));
    fold.advance(at(4));
    assert_eq!(fold.value("a"), Some(&b"new"[..]));
    assert_eq!(fold.value("b"), Some(&b"new"[..]));
}

/// A whole state from another instance ends before a record that a later page brought, so it says nothing about its key.
#[test]
fn later_page_is_kept() {
    let mut fold = Fold::default();
    fold.replace(vec![record("b", 3, Some("new"))], at(2));
    assert!(fold.replace(Vec::new(), at(3)).is_empty());
    assert!(fold.value("b").is_some());
}

/// An instance that has forgotten some removals passes on its whole state.
#[test]
fn forgotten_removals_are_not_skipped() {
    let mut fold = Fold::default();
    let removals = 5_000;
    for offset in 0..removals {
        fold.apply(record(&offset.to_string(), offset, None));
    }
    fold.advance(at(removals));
    assert_eq!(fold.since(at(0)), None);
    let last = fold.since(at(removals - 1)).expect("the last removal");
    assert_eq!(last.len(), 1);
}

/// Any sequence of reads from the log, restarts and transfers between instances: each instance holds exactly what the
/// log held at the offset that it states. Guards against lost removals.
#[test]
fn any_way_agrees() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut log: Vec<Record> = Vec::new();
            let mut folds = vec![Fold::default(); 3];
            for &(act, by) in steps {
                let to = usize::from(by) % folds.len();
                match act % 8 {
                    0..=2 => log.push(next_record(&log, by)),
                    3 | 4 if folds[to].is_known() => {
                        let from = folds[to].end().offset as usize;
                        for record in &log[from..] {
                            folds[to].apply(record.clone());
                        }
                        folds[to].advance(at(log.len() as u64));
                    }
                    3..=5 => {
                        folds[to] = Fold::default();
                        let state = state_at(&log, log.len());
                        folds[to].replace(state, at(log.len() as u64));
                    }
                    _ => pass_on(&mut folds, to, usize::from(by / 16) % 3),
                }
                for fold in folds.iter().filter(|fold| fold.is_known()) {
                    let state = state_at(&log, fold.end().offset as usize);
                    for key in ["a", "b", "c"] {
                        let record = state.iter().find(|record| record.key == key);
                        let value = record.and_then(|record| record.value.as_deref());
                        assert_eq!(fold.value(key), value, "`{key}` at {}", fold.end());
                    }
                }
            }
        });
}

/// The next record of the log: a new value of a key, or its removal.
fn next_record(log: &[Record], by: u8) -> Record {
    let key = ["a", "b", "c"][usize::from(by) % 3];
    let value = (by / 3).is_multiple_of(2).then(|| log.len().to_string());
    record(key, log.len() as u64, value.as_deref())
}

/// The state after the first `end` records of the log, without removed keys.
fn state_at(log: &[Record], end: usize) -> Vec<Record> {
    let newest = |key: &str| log[..end].iter().rfind(|record| record.key == key).cloned();
    let records = ["a", "b", "c"].into_iter().filter_map(newest);
    records.filter(|record| record.value.is_some()).collect()
}

/// The instance `to` fetches from `from` what it lacks.
fn pass_on(folds: &mut [Fold], to: usize, from: usize) {
    if !folds[from].is_known() || folds[from].end() <= folds[to].end() {
        return;
    }
    let (giver, end) = (folds[from].clone(), folds[from].end());
    let start = match folds[to].is_known() {
        true => folds[to].end(),
        false => at(0),
    };
    match giver.since(start) {
        Some(records) => {
            for record in records {
                folds[to].apply(record);
            }
            folds[to].advance(end);
        }
        None => {
            folds[to].replace(giver.state(), end);
        }
    }
}

/// A record at the largest offset does not end the process.
#[test]
fn largest_offset() {
    let mut fold = Fold::default();
    assert!(fold.apply(record("a", u64::MAX, Some("1"))).is_some());
    assert_eq!(fold.end(), at(u64::MAX));
}
