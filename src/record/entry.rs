use serde_json::{json, Value};

use crate::id::Offset;

use super::Kind;

/// Encodes an entry for publication.
///
/// `base` is the [`Fold::revision`](super::Fold::revision) that the change is based on. `body` has the form of
/// `schema`; `null` deletes the record. The entry is not checked here; to know the verdict in advance, apply it to a
/// clone of the fold with [`Fold::apply`](super::Fold::apply).
pub fn entry(kind: Kind, name: &str, schema: u64, base: Offset, body: &Value) -> String {
    json!({"schema": schema, "kind": kind, "name": name, "base": base, "body": body}).to_string()
}
