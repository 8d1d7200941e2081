use serde_json::{json, Value};

use crate::id::Offset;

use super::Kind;

/// Makes the entry that an operator publishes.
///
/// `base` is [`Fold::revision`](super::Fold::revision) as the operator saw it; `body` is in the form of `schema`, and
/// `null` deletes the record. The fold checks the entry; [`Fold::apply`](super::Fold::apply) on a clone tells the
/// verdict beforehand.
pub fn entry(kind: Kind, name: &str, schema: u64, base: Offset, body: &Value) -> String {
    json!({"schema": schema, "kind": kind, "name": name, "base": base, "body": body}).to_string()
}
