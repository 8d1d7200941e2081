//! Guards against a log that comes back from an older copy of itself: its offsets are given out again, and what it
//! acknowledged since the copy is written again, or lost.

use jujubehook::entry::{Fold, Position, Record};

/// Records of the old history that the copy lacks begin here.
const COPY_END: u64 = 3;

/// End of the old history.
const OLD_END: u64 = 6;

fn at(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

fn record(key: &str, position: Position, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        position,
        rank: None,
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

/// A version of the configuration.
fn config(position: Position, version: u64) -> Record {
    Record {
        rank: Some((version, 0)),
        ..record("config", position, Some(&version.to_string()))
    }
}

/// A record of a target: start and sequence.
fn target(key: &str, position: Position, rank: (u64, u64)) -> Record {
    Record {
        rank: Some(rank),
        ..record(key, position, Some(&format!("{rank:?}")))
    }
}

/// An instance that knows versions 4 and 7 of the configuration, and evacuations and targets: `b` was written since the
/// copy, `c` was removed since, and `d` changed.
fn before() -> Fold {
    let mut fold = Fold::default();
    let state = vec![
        config(at(0, 0), 4),
        record("c", at(0, 1), Some("c")),
        record("d", at(0, 2), Some("old")),
    ];
    fold.replace(state, at(0, COPY_END));
    fold.apply(config(at(0, 3), 7));
    fold.apply(record("b", at(0, 4), Some("b")));
    fold.apply(record("c", at(0, 5), None));
    fold.apply(record("d", at(0, 6), Some("new")));
    fold.advance(at(0, OLD_END + 1));
    fold
}

/// The state of the copy in the era after.
fn copy() -> Vec<Record> {
    vec![
        config(at(1, 0), 4),
        record("c", at(1, 1), Some("c")),
        record("d", at(1, 2), Some("old")),
    ]
}

fn restored() -> Fold {
    let mut fold = before();
    fold.replace(copy(), at(1, COPY_END));
    fold
}

fn value<'a>(fold: &'a Fold, key: &str) -> Option<&'a str> {
    fold.value(key)
        .map(|value| std::str::from_utf8(value).expect("text"))
}

/// A change that is written after the restore, at an offset that was given out before, never comes into force.
#[test]
fn later_change_counts() {
    let mut fold = restored();
    assert!(fold.apply(config(at(1, 3), 8)).is_some());
    fold.advance(at(1, 4));
    assert_eq!(value(&fold, "config"), Some("8"));
    assert_eq!(fold.end(), at(1, 4));
    assert!(fold.carried().iter().all(|record| record.key != "config"));
}

/// The log has grown past the old end before it is read again, so no read fails.
#[test]
fn grown_past_the_end() {
    let mut fold = before();
    fold.apply(config(at(1, 7), 9));
    fold.advance(at(1, 8));
    assert_eq!(fold.end(), at(0, OLD_END + 1), "a part of a new era");
    assert_eq!(value(&fold, "config"), Some("7"));
    let mut state = copy();
    state[0] = config(at(1, 7), 9);
    let changed = fold.replace(state, at(1, 8));
    assert_eq!(fold.end(), at(1, 8));
    assert_eq!(value(&fold, "config"), Some("9"));
    assert_eq!(changed.len(), 1, "{changed:?}");
}

/// A version that was confirmed is replaced by the copy's older one, or by an older one that is written again first.
#[test]
fn version_stays() {
    let mut fold = restored();
    assert_eq!(value(&fold, "config"), Some("7"));
    assert!(fold.apply(config(at(1, 3), 5)).is_none());
    fold.settle(|_| false);
    assert_eq!(value(&fold, "config"), Some("7"));
    fold.apply(config(at(1, 4), 7));
    assert_eq!(value(&fold, "config"), Some("7"));
    assert_eq!(fold.recorded("config"), Some(&b"7"[..]));
    assert!(fold.carried().iter().all(|record| record.key != "config"));
}

/// A key that was removed comes back, because the copy has it.
#[test]
fn removed_key_stays_removed() {
    let mut fold = restored();
    assert_eq!(value(&fold, "c"), None);
    // It is removed again.
    fold.apply(record("c", at(1, 3), None));
    assert_eq!(value(&fold, "c"), None);
    fold.settle(|_| false);
    assert_eq!(value(&fold, "c"), None);
}

/// A removed key that is written after the restore stays away.
#[test]
fn removed_key_is_written() {
    let mut fold = restored();
    assert!(fold.apply(record("c", at(1, 3), Some("again"))).is_some());
    assert_eq!(value(&fold, "c"), Some("again"));
}

/// A key that the copy lacks is gone before its writer could write it again, or stays although nobody does.
#[test]
fn missing_key_lapses() {
    let mut fold = restored();
    assert_eq!(value(&fold, "b"), Some("b"));
    let mut again = fold.clone();
    again.apply(record("b", at(1, 3), Some("b")));
    again.settle(|_| false);
    assert_eq!(value(&again, "b"), Some("b"));
    let changed = fold.settle(|_| false);
    assert_eq!(value(&fold, "b"), None);
    let lapsed = changed.iter().find(|record| record.key == "b");
    assert!(lapsed.is_some_and(|record| record.value.is_none()));
}

/// A value without an order that changed since the copy goes back to the copy's value before it is written again.
#[test]
fn changed_key_stays() {
    let mut fold = restored();
    assert_eq!(value(&fold, "d"), Some("new"));
    assert!(fold.apply(record("d", at(1, 3), Some("newer"))).is_some());
    assert_eq!(value(&fold, "d"), Some("newer"));
}

/// A target that drains is used again, because the copy has its record from before, or a target that started anew is not
/// used.
#[test]
fn later_target_counts() {
    let mut fold = Fold::default();
    fold.replace(vec![target("t", at(0, 0), (100, 1))], at(0, 1));
    fold.apply(target("t", at(0, 1), (100, 5)));
    let copy = vec![target("t", at(1, 0), (100, 1))];
    assert!(fold.replace(copy, at(1, 1)).is_empty());
    fold.settle(|_| false);
    assert_eq!(value(&fold, "t"), Some("(100, 5)"));
    fold.apply(target("t", at(1, 1), (900, 0)));
    assert_eq!(value(&fold, "t"), Some("(900, 0)"));
    assert!(fold.carried().is_empty());
}

/// A target that was removed is used again, because the copy has its record; one that wrote since is not used.
#[test]
fn removed_target_counts() {
    let mut fold = Fold::default();
    fold.replace(vec![target("t", at(0, 0), (100, 1))], at(0, 1));
    fold.apply(record("t", at(0, 1), None));
    fold.advance(at(0, 2));
    let mut other = fold.clone();
    fold.replace(vec![target("t", at(1, 0), (100, 1))], at(1, 1));
    assert_eq!(value(&fold, "t"), None);
    other.replace(vec![target("t", at(1, 1), (100, 3))], at(1, 2));
    assert_eq!(value(&other, "t"), Some("(100, 3)"));
}

/// An answer of the log, or of an instance, that still belongs to the era before brings old records back.
#[test]
fn earlier_era_changes_nothing() {
    let mut fold = restored();
    let known = fold.clone();
    assert!(fold.apply(record("e", at(0, 9), Some("e"))).is_none());
    fold.advance(at(0, 10));
    let state = vec![config(at(0, 9), 4)];
    assert!(fold.replace(state, at(0, 10)).is_empty());
    assert!(fold == known);
    assert_eq!(fold.since(at(0, OLD_END + 1)), None);
}

/// An instance that starts knows only the copy, until another one tells it what was confirmed.
#[test]
fn starter_learns_the_rest() {
    let mut starter = Fold::default();
    starter.replace(copy(), at(1, COPY_END));
    assert_eq!(value(&starter, "config"), Some("4"));
    let mut from_old = starter.clone();
    let changed = from_old.recall(before().state());
    assert_eq!(changed.len(), 3, "{changed:?}");
    starter.recall(restored().carried().to_vec());
    for fold in [&starter, &from_old] {
        assert_eq!(value(fold, "config"), Some("7"));
        assert_eq!(value(fold, "b"), Some("b"));
        assert_eq!(value(fold, "d"), Some("new"));
    }
    assert_eq!(value(&starter, "c"), None);
}

/// What is told twice, or late, replaces what the new era has.
#[test]
fn late_rest_is_ignored() {
    let mut fold = restored();
    let carried = fold.carried().to_vec();
    fold.apply(config(at(1, 3), 8));
    fold.apply(record("b", at(1, 4), None));
    fold.advance(at(1, 5));
    assert!(fold.recall(carried).is_empty());
    assert_eq!(value(&fold, "config"), Some("8"));
    assert_eq!(value(&fold, "b"), None);
}

/// The log comes back from a copy twice, the second time before anything was written again.
#[test]
fn twice() {
    let mut fold = restored();
    fold.apply(record("e", at(1, 3), Some("e")));
    let mut state = copy();
    state.truncate(1);
    state[0].position.era = 2;
    fold.replace(state, at(2, 1));
    assert_eq!(fold.end(), at(2, 1));
    for (key, expected) in [
        ("config", Some("7")),
        ("b", Some("b")),
        ("c", None),
        ("d", Some("new")),
        ("e", Some("e")),
    ] {
        assert_eq!(value(&fold, key), expected, "`{key}`");
    }
    fold.apply(config(at(2, 1), 7));
    fold.apply(config(at(2, 2), 8));
    assert_eq!(value(&fold, "config"), Some("8"));
    assert!(fold.replace(copy(), at(1, COPY_END)).is_empty());
    assert_eq!(value(&fold, "config"), Some("8"));
}

/// The order of a removed value is forgotten, so a copy of that value counts as later than its removal.
#[test]
fn rank_of_removal() {
    let mut fold = Fold::default();
    fold.apply(target("t", at(0, 0), (100, 1)));
    let removed = fold.apply(record("t", at(0, 1), None));
    assert_eq!(removed.and_then(|record| record.rank), Some((100, 1)));
    assert_eq!(fold.rank(), None);
}
