use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use serde_json::Value;

use crate::id::Offset;

use super::{v2, Body, Kind};

/// A record in force. It serializes as `{"kind","name","schema","revision","body"}` with the body in the form of
/// schema 2.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Contents of the record.
    pub body: Body,
    /// Offset of the entry that created or last changed the record.
    pub revision: Offset,
    /// Schema version that the entry was published in.
    pub schema: u64,
}

impl Record {
    /// The body in the form of schema 2.
    pub fn json(&self) -> Value {
        v2::encode(&self.body)
    }

    /// The kind of the record.
    pub fn kind(&self) -> Kind {
        self.body.kind()
    }

    /// The name of the record.
    pub fn name(&self) -> &str {
        self.body.name()
    }

    /// Size in bytes that counts towards the size limits.
    pub(super) fn bytes(&self) -> usize {
        self.name().len() + self.json().to_string().len()
    }

    /// Sort key of records.
    pub(super) fn key(&self) -> (Kind, &str) {
        (self.kind(), self.name())
    }
}

impl Serialize for Record {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_struct("Record", 5)?;
        record.serialize_field("kind", &self.kind())?;
        record.serialize_field("name", self.name())?;
        record.serialize_field("schema", &self.schema)?;
        record.serialize_field("revision", &self.revision)?;
        record.serialize_field("body", &self.json())?;
        record.end()
    }
}
