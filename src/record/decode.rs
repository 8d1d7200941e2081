use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::id::Offset;

use super::object::Object;
use super::{check, v1, v2, Body, Kind};

/// An entry in the internal form; no body deletes the record.
pub(super) struct Change {
    pub(super) base: Offset,
    pub(super) body: Option<Body>,
    pub(super) kind: Kind,
    pub(super) name: String,
    pub(super) schema: u64,
}

/// Why an entry was not decoded.
pub(super) enum Fault {
    /// The entry is malformed for every schema.
    Malformed(String),
    /// The entry may be valid for a newer build.
    Schema(u64),
}

/// The envelope of both schema versions. A missing body is an error; only an explicit `null` deletes.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<B: DeserializeOwned> {
    base: Offset,
    #[serde(bound = "B: DeserializeOwned", deserialize_with = "nullable")]
    body: Option<B>,
    kind: Kind,
    name: String,
    schema: u64,
}

#[derive(Deserialize)]
struct Probe {
    kind: Option<Value>,
    schema: Option<Value>,
}

/// Decodes `entry`, whose schema may be at most `newest`.
pub(super) fn decode(entry: &str, newest: u64) -> Result<Change, Fault> {
    if entry.len() > check::MAX_ENTRY_BYTES {
        let reason = format!(
            "entry of {} bytes is larger than {}",
            entry.len(),
            check::MAX_ENTRY_BYTES
        );
        return Err(Fault::Malformed(reason));
    }
    parse(entry, newest)
}

/// Decodes `entry` without a limit of its size.
pub(super) fn parse(entry: &str, newest: u64) -> Result<Change, Fault> {
    let probe = serde_json::from_str::<Object<Probe>>(entry)
        .map_err(|error| malformed(&error))?
        .0;
    let Some(schema) = probe.schema.as_ref().and_then(Value::as_u64) else {
        return Err(Fault::Malformed(
            "`schema` is not a positive integer".into(),
        ));
    };
    if !(1..=newest).contains(&schema) {
        return Err(Fault::Schema(schema));
    }
    let Some(kind) = probe
        .kind
        .as_ref()
        .and_then(Value::as_str)
        .and_then(Kind::from_name)
    else {
        return Err(Fault::Malformed(
            "`kind` is none of domain, service, target, workspace".into(),
        ));
    };
    let change = typed(entry, schema, kind)?;
    check::name(kind.name(), &change.name).map_err(Fault::Malformed)?;
    if let Some(body) = &change.body {
        check::body(body).map_err(Fault::Malformed)?;
    }
    Ok(change)
}

fn envelope<B: DeserializeOwned>(
    entry: &str,
    body: impl Fn(B, String) -> Body,
) -> Result<Change, Fault> {
    let envelope = serde_json::from_str::<Object<Envelope<B>>>(entry)
        .map_err(|error| malformed(&error))?
        .0;
    Ok(Change {
        base: envelope.base,
        body: envelope.body.map(|form| body(form, envelope.name.clone())),
        kind: envelope.kind,
        name: envelope.name,
        schema: envelope.schema,
    })
}

fn malformed(error: &serde_json::Error) -> Fault {
    Fault::Malformed(error.to_string())
}

fn nullable<'de, B: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<B>, D::Error> {
    Ok(Option::deserialize(deserializer)?.map(|Object(body)| body))
}

fn typed(entry: &str, schema: u64, kind: Kind) -> Result<Change, Fault> {
    match (schema, kind) {
        (1, Kind::Domain) => envelope(entry, v1::Domain::body),
        (1, Kind::Service) => envelope(entry, v1::Service::body),
        (1, Kind::Target) => envelope(entry, v1::Target::body),
        (1, Kind::Workspace) => envelope(entry, v1::Workspace::body),
        (_, Kind::Domain) => envelope(entry, v2::Domain::body),
        (_, Kind::Service) => envelope(entry, v2::Service::body),
        (_, Kind::Target) => envelope(entry, v2::Target::body),
        (_, Kind::Workspace) => envelope(entry, v2::Workspace::body),
    }
}
