//! Guards against state that goes back to something older, whatever way records arrive.

use jujubehook::entry::{Fold, Record};

fn record(key: &str, offset: u64, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        offset,
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

/// A slow answer, or one from an instance that is behind, brings an older value after a newer one.
#[test]
fn older_is_ignored() {
    let mut fold = Fold::default();
    assert!(fold.apply(record("config", 7, Some("new"))).is_some());
    assert!(fold.apply(record("config", 3, Some("old"))).is_none());
    assert_eq!(fold.value("config"), Some(&b"new"[..]));
    assert_eq!(fold.end(), 8);
}

/// After the history was dropped, the whole state shows which keys are gone.
#[test]
fn missing_keys_are_removed() {
    let mut fold = Fold::default();
    fold.replace(
        vec![record("a", 1, Some("1")), record("b", 2, Some("2"))],
        3,
    );
    let changed = fold.replace(vec![record("b", 2, Some("2"))], 9);
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].key.as_str(), &changed[0].value), ("a", &None));
}

/// A whole state that was read from a reader that lags behind must not remove what came since.
#[test]
fn stale_state_removes_nothing() {
    let mut fold = Fold::default();
    fold.replace(vec![record("a", 1, Some("1"))], 2);
    fold.apply(record("b", 5, Some("2")));
    assert!(fold.replace(vec![record("a", 1, Some("1"))], 3).is_empty());
    assert!(fold.value("b").is_some());
    assert_eq!(fold.end(), 6);
}

/// A removal must win over the value that it removed, also when that value arrives later from another instance.
#[test]
fn removal_is_remembered() {
    let mut fold = Fold::default();
    fold.apply(record("a", 1, Some("1")));
    fold.apply(record("a", 4, None));
    assert!(fold.apply(record("a", 1, Some("1"))).is_none());
    assert_eq!(fold.value("a"), None);
    assert_eq!(fold.since(0), vec![record("a", 4, None)]);
}
