use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::id::Offset;

use super::object::Object;
use super::{check, v1, v2, Body, Kind};

/// A decoded entry. Without a body it deletes the record.
pub(super) struct Change {
    pub(super) base: Offset,
    pub(super) body: Option<Body>,
    pub(super) kind: Kind,
    pub(super) name: String,
    pub(super) schema: u64,
}

/// Reason why an entry cannot be decoded.
pub(super) enum Error {
    /// The entry is invalid in every schema.
    Malformed(String),
    /// This build does not read the schema; a newer one may.
    UnknownSchema(u64),
}

/// Envelope of both schema versions. A missing body is an error; deletion takes an explicit `null`.
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

/// The members that select the type of the body.
#[derive(Deserialize)]
struct Probe {
    kind: Option<Value>,
    schema: Option<Value>,
}

/// Decodes `entry` of a schema up to `newest_schema`.
pub(super) fn decode(entry: &str, newest_schema: u64) -> Result<Change, Error> {
    if entry.len() > check::MAX_ENTRY_BYTES {
        let reason = format!(
            "entry of {} bytes is larger than {}",
            entry.len(),
            check::MAX_ENTRY_BYTES
        );
        return Err(Error::Malformed(reason));
    }
    parse(entry, newest_schema)
}

/// Decodes `entry` without a size limit.
pub(super) fn parse(entry: &str, newest_schema: u64) -> Result<Change, Error> {
    let probe = serde_json::from_str::<Object<Probe>>(entry)
        .map_err(|error| malformed(&error))?
        .0;
    let Some(schema) = probe.schema.as_ref().and_then(Value::as_u64) else {
        return Err(Error::Malformed(
            "`schema` is not a positive integer".into(),
        ));
    };
    if !(1..=newest_schema).contains(&schema) {
        return Err(Error::UnknownSchema(schema));
    }
    let Some(kind) = probe
        .kind
        .as_ref()
        .and_then(Value::as_str)
        .and_then(Kind::from_name)
    else {
        return Err(Error::Malformed(
            "`kind` is none of domain, service, target, workspace".into(),
        ));
    };
    let change = decode_as(entry, schema, kind)?;
    check::name(kind.name(), &change.name).map_err(Error::Malformed)?;
    if let Some(body) = &change.body {
        check::body(body).map_err(Error::Malformed)?;
    }
    Ok(change)
}

/// Decodes `entry` with the body type of `schema` and `kind`.
fn decode_as(entry: &str, schema: u64, kind: Kind) -> Result<Change, Error> {
    match (schema, kind) {
        (1, Kind::Domain) => decode_envelope(entry, v1::Domain::body),
        (1, Kind::Service) => decode_envelope(entry, v1::Service::body),
        (1, Kind::Target) => decode_envelope(entry, v1::Target::body),
        (1, Kind::Workspace) => decode_envelope(entry, v1::Workspace::body),
        (_, Kind::Domain) => decode_envelope(entry, v2::Domain::body),
        (_, Kind::Service) => decode_envelope(entry, v2::Service::body),
        (_, Kind::Target) => decode_envelope(entry, v2::Target::body),
        (_, Kind::Workspace) => decode_envelope(entry, v2::Workspace::body),
    }
}

fn decode_envelope<B: DeserializeOwned>(
    entry: &str,
    body: impl Fn(B, String) -> Body,
) -> Result<Change, Error> {
    let envelope = serde_json::from_str::<Object<Envelope<B>>>(entry)
        .map_err(|error| malformed(&error))?
        .0;
    Ok(Change {
        base: envelope.base,
        body: envelope
            .body
            .map(|value| body(value, envelope.name.clone())),
        kind: envelope.kind,
        name: envelope.name,
        schema: envelope.schema,
    })
}

fn malformed(error: &serde_json::Error) -> Error {
    Error::Malformed(error.to_string())
}

fn nullable<'de, B: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<B>, D::Error> {
    Ok(Option::deserialize(deserializer)?.map(|Object(body)| body))
}
