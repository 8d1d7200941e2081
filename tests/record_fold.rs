//! The fold of configuration records: entry order, racing operators, deletion, snapshots, authorization and limits.

use jujubehook::error;
use jujubehook::record::{
    entry, Fold, Kind, Verdict, MAX_ENTRY_BYTES, MAX_TOMBSTONES, MAX_VERDICTS,
};
use serde_json::{json, Value};

fn domain(name: &str, base: u64, body: Value) -> String {
    entry(Kind::Domain, name, 1, base, &body)
}

fn fold(entries: &[String]) -> Fold {
    let mut fold = Fold::default();
    for entry in entries {
        fold.apply(fold.offset() + 1, entry).unwrap();
    }
    fold
}

fn reason(verdict: Option<&Verdict>) -> &str {
    match verdict {
        Some(Verdict::Rejected { reason }) => reason,
        other => panic!("not rejected: {other:?}"),
    }
}

fn workspace(name: &str, base: u64, key: &str) -> String {
    let body = json!({"grants": [{"model": "amber", "adapters": ["lora"], "versions": ["1"]}, {"model": "birch"}],
                      "keys": [key]});
    entry(Kind::Workspace, name, 2, base, &body)
}

/// Guards against an operator who overwrites the concurrent change of another one unnoticed.
#[test]
fn racing_operators() {
    let fold = fold(&[
        domain("north", 0, json!({"in_service": false})),
        domain("north", 1, json!({"in_service": true})),
        domain("north", 1, json!({"in_service": false})),
    ]);
    assert_eq!(
        reason(fold.verdict(3)),
        "base `1` of domain `north` is not its revision 2"
    );
    assert!(fold.domain_in_service("north"));
    assert!(fold.domain_in_service("without-record"));
    assert_eq!(fold.revision(Kind::Domain, "north"), 2);
}

/// Guards against a creation that is repeated after a lost reply and undoes a deletion in between.
#[test]
fn deletion_stays() {
    let create = domain("north", 0, json!({"in_service": false}));
    let entries = [create.clone(), domain("north", 1, Value::Null), create];
    let folded = fold(&entries);
    assert!(folded.records().is_empty());
    assert_eq!(
        reason(folded.verdict(3)),
        "base `0` of domain `north` is not its revision 2"
    );
    let mut again = Fold::from_snapshot(&folded.snapshot()).unwrap();
    again
        .apply(4, &domain("north", 2, json!({"in_service": false})))
        .unwrap();
    assert!(!again.domain_in_service("north"));
}

/// Guards against memory that grows with the number of deleted records.
#[test]
fn tombstones_bounded() {
    let mut fold = Fold::default();
    for number in 0..=MAX_TOMBSTONES as u64 {
        let name = format!("d{number}");
        fold.apply(
            2 * number + 1,
            &domain(&name, 0, json!({"in_service": true})),
        )
        .unwrap();
        fold.apply(2 * number + 2, &domain(&name, 2 * number + 1, Value::Null))
            .unwrap();
    }
    assert_eq!(
        (
            fold.revision(Kind::Domain, "d0"),
            fold.revision(Kind::Domain, "d1")
        ),
        (0, 4)
    );
}

/// Guards against entries that are skipped or applied twice.
#[test]
fn strict_order() {
    let mut fold = fold(&[domain("north", 0, json!({"in_service": true}))]);
    let before = fold.clone();
    for offset in [0, 1, 3] {
        let error = fold
            .apply(offset, &domain("south", 0, json!({"in_service": true})))
            .unwrap_err();
        assert_eq!(error.kind(), error::Kind::Internal);
    }
    assert_eq!(fold, before);
}

/// Guards against an older build that skips an entry of a newer schema and then differs from newer builds.
#[test]
fn unknown_schema_stops() {
    let mut fold = fold(&[domain("north", 0, json!({"in_service": false}))]);
    let before = fold.clone();
    for schema in [0, 3, u64::MAX] {
        let error = fold
            .apply(
                2,
                &entry(Kind::Domain, "north", schema, 1, &json!({"new": 1})),
            )
            .unwrap_err();
        assert_eq!(error.kind(), error::Kind::BadRequest);
    }
    assert_eq!(fold, before);
}

/// Guards against instances that differ after a restart from a snapshot, and against damaged snapshots that are
/// accepted.
#[test]
fn snapshot_restores() {
    let mut live = fold(&[
        workspace("w", 0, &"a".repeat(64)),
        domain("north", 0, json!({"in_service": false})),
        "junk".into(),
    ]);
    let mut restored = Fold::from_snapshot(&live.snapshot()).unwrap();
    let next = domain("north", 2, Value::Null);
    assert_eq!(
        live.apply(4, &next).unwrap(),
        restored.apply(4, &next).unwrap()
    );
    assert_eq!(live.snapshot(), restored.snapshot());
    assert_eq!(restored.verdict(3), None);
    let text = String::from_utf8(live.snapshot()).unwrap();
    for (from, to) in [
        ("\"version\":1", "\"version\":2"),
        ("\"schema\":2", "\"schema\":9"),
        ("amber", "zinc"),
    ] {
        assert!(
            Fold::from_snapshot(text.replacen(from, to, 1).as_bytes()).is_ok() == (from == "amber"),
            "{from}"
        );
    }
    assert!(
        Fold::from_snapshot(text.replace("\"revision\":1", "\"revision\":9").as_bytes()).is_err()
    );
    assert!(Fold::from_snapshot(&text.as_bytes()[1..]).is_err());
}

/// Guards against a peer that is behind and takes an instance back to an older state.
#[test]
fn adopts_forward_only() {
    let old = fold(&[domain("north", 0, json!({"in_service": false}))]);
    let mut new = old.clone();
    new.apply(2, &domain("north", 1, json!({"in_service": true})))
        .unwrap();
    let (mut behind, mut ahead) = (old.clone(), new.clone());
    assert!(behind.adopt(new.clone()) && behind == new);
    assert!(!ahead.adopt(old) && ahead == new);
}

/// Guards against the use of models that are not granted, and against keys that belong to two workspaces.
#[test]
fn grants_and_keys() {
    let key = "ab".repeat(32);
    let fold = fold(&[
        workspace("w", 0, &key),
        workspace("v", 0, &key),
        workspace("v", 0, &"c".repeat(64)),
    ]);
    assert_eq!(
        reason(fold.verdict(2)),
        format!("key digest `{key}` belongs to workspace `w`")
    );
    assert_eq!(
        fold.workspace_by_key(&[0xab; 32])
            .map(|found| found.name.as_str()),
        Some("w")
    );
    assert_eq!(
        fold.workspace_by_key(&[0xcc; 32])
            .map(|found| found.name.as_str()),
        Some("v")
    );
    assert_eq!(fold.workspace_by_key(&[0; 32]), None);
    let authorize = |model, adapter, version| {
        fold.authorize("w", model, adapter, version)
            .map_err(|error| error.kind())
    };
    assert_eq!(authorize("amber", Some("lora"), Some("1")), Ok(()));
    assert_eq!(authorize("amber", None, Some("1")), Ok(()));
    assert_eq!(authorize("birch", Some("any"), None), Ok(()));
    for (model, adapter, version) in [
        ("amber", Some("other"), Some("1")),
        ("amber", None, Some("2")),
        ("amber", None, None),
        ("cedar", None, None),
    ] {
        assert_eq!(
            authorize(model, adapter, version),
            Err(error::Kind::Forbidden),
            "{model} {adapter:?} {version:?}"
        );
    }
    assert_eq!(
        fold.authorize("none", "birch", None, None)
            .unwrap_err()
            .kind(),
        error::Kind::Forbidden
    );
}

/// Guards against memory that grows with the number of entries or with the size of invalid ones.
#[test]
fn verdicts_bounded() {
    let mut fold = Fold::default();
    for offset in 1..=MAX_VERDICTS as u64 + 1 {
        fold.apply(
            offset,
            &format!("{{\"schema\":1,\"{}\":0}}", "x".repeat(5_000)),
        )
        .unwrap();
    }
    assert_eq!(fold.verdict(1), None);
    assert!(reason(fold.verdict(2)).len() < 1_000);
    fold.apply(fold.offset() + 1, &"x".repeat(MAX_ENTRY_BYTES + 1))
        .unwrap();
    assert_eq!(
        reason(fold.verdict(fold.offset())),
        "entry of 65537 bytes is larger than 65536"
    );
    assert_eq!(fold.verdict(fold.offset() + 1), None);
}
