use serde::Serialize;
use serde_json::Value;

use super::folder::Item;
use super::Error;
use crate::id::Offset;
use crate::record::{self, Fold, Kind, Record, Verdict, NEWEST_SCHEMA};

/// What a change does to a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Action {
    Change,
    Create,
    Delete,
}

/// A change of one record. `--json` prints it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    pub(super) action: Action,
    /// Revision that the change is based on.
    pub(super) base: Offset,
    pub(super) differences: Vec<Difference>,
    /// The entry to publish.
    #[serde(skip)]
    pub(super) entry: String,
    pub(super) kind: Kind,
    pub(super) name: String,
}

/// A value that differs; an absent value is `null`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) struct Difference {
    pub(super) from: Value,
    pub(super) key: String,
    pub(super) to: Value,
}

impl Action {
    pub(super) fn name(self) -> &'static str {
        match self {
            Action::Change => "change",
            Action::Create => "create",
            Action::Delete => "delete",
        }
    }
}

/// Applies the records on top of `fold` and returns one message for each that is rejected.
pub(super) fn faults(items: &[Item], fold: &Fold) -> Vec<String> {
    let mut fold = fold.clone();
    let verdicts = items.iter().map(|item| (item, apply(&mut fold, item)));
    verdicts
        .filter_map(|(item, verdict)| Some(item.describe_error(&verdict.err()?)))
        .collect()
}

/// The changes that turn `fold` into the records of a folder. Deletions come last, so that a record that replaces
/// another one takes effect before that one is deleted.
pub(super) fn between(fold: &Fold, items: &[Item], prune: bool) -> Result<Vec<Change>, Error> {
    let mut after = fold.clone();
    let mut changes = Vec::new();
    for item in items {
        let (kind, name) = (item.kind, item.name.as_str());
        let base = fold.revision(kind, name);
        apply(&mut after, item).map_err(|reason| Error::Conflict(item.describe_error(&reason)))?;
        let (old, new) = (fold.record(kind, name), after.record(kind, name));
        let differences = differences(old, new);
        if differences.is_empty() {
            continue;
        }
        changes.push(Change {
            action: old.map_or(Action::Create, |_| Action::Change),
            base,
            differences,
            entry: item.entry(base),
            kind,
            name: name.to_owned(),
        });
    }
    if prune {
        let unlisted = |record: &&Record| {
            let key = (record.kind(), record.name());
            items
                .binary_search_by(|item| (item.kind, item.name.as_str()).cmp(&key))
                .is_err()
        };
        changes.extend(fold.records().iter().filter(unlisted).map(deletion));
    }
    Ok(changes)
}

fn deletion(record: &Record) -> Change {
    let (base, kind, name) = (record.revision, record.kind(), record.name());
    Change {
        action: Action::Delete,
        base,
        differences: differences(Some(record), None),
        entry: record::entry(kind, name, NEWEST_SCHEMA, base, &Value::Null),
        kind,
        name: name.to_owned(),
    }
}

fn differences(old: Option<&Record>, new: Option<&Record>) -> Vec<Difference> {
    let schema = |record: Option<&Record>| record.map_or(Value::Null, |r| r.schema.into());
    let body = |record: Option<&Record>| record.map_or(Value::Null, Record::json);
    let mut found = Vec::new();
    compare("schema", &schema(old), &schema(new), &mut found);
    compare("body", &body(old), &body(new), &mut found);
    found
}

/// Adds the differences between two values. Objects are compared member by member, all other values as a whole.
fn compare(key: &str, from: &Value, to: &Value, found: &mut Vec<Difference>) {
    if from == to {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (from, to) else {
        found.push(Difference {
            from: from.clone(),
            key: key.to_owned(),
            to: to.clone(),
        });
        return;
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let key = format!("{key}.{name}");
        let member = |object: &serde_json::Map<String, Value>| object.get(name).cloned();
        let (from, to) = (
            member(old).unwrap_or_default(),
            member(new).unwrap_or_default(),
        );
        compare(&key, &from, &to, found);
    }
}

/// Applies a record to `fold`, which is a local copy.
fn apply(fold: &mut Fold, item: &Item) -> Result<(), String> {
    let base = fold.revision(item.kind, &item.name);
    match fold.apply(fold.offset() + 1, &item.entry(base)) {
        Ok(Verdict::Accepted { .. }) => Ok(()),
        Ok(Verdict::Rejected { reason }) => Err(reason),
        Err(error) => Err(error.message().to_owned()),
    }
}
