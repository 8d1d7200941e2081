use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id::Offset;

use super::decode;
use super::{entry, Kind, Record, Settings, Tombstone, MAX_RECORDS, MAX_TOMBSTONES, NEWEST_SCHEMA};

/// Version of the snapshot format.
const VERSION: u64 = 1;

/// Serialized form of a fold. Field order and sorted vectors make it deterministic.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Snapshot {
    version: u64,
    pub(super) offset: Offset,
    records: Vec<Item>,
    pub(super) tombstones: Vec<Tombstone>,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Item {
    kind: Kind,
    name: String,
    schema: u64,
    revision: Offset,
    body: Value,
}

impl Snapshot {
    pub(super) fn new(offset: Offset, records: &[Record], tombstones: &[Tombstone]) -> Snapshot {
        let records = records.iter().map(Item::new).collect();
        Snapshot {
            version: VERSION,
            offset,
            records,
            tombstones: tombstones.to_vec(),
        }
    }

    /// Decodes a snapshot; its records must pass the same checks as entries.
    pub(super) fn decode(
        bytes: &[u8],
        settings: Settings,
    ) -> Result<(Snapshot, Vec<Record>), String> {
        let snapshot =
            serde_json::from_slice::<Snapshot>(bytes).map_err(|error| error.to_string())?;
        if snapshot.version != VERSION {
            return Err(format!(
                "snapshot version `{}` is not {VERSION}",
                snapshot.version
            ));
        }
        if snapshot.records.len() > MAX_RECORDS || snapshot.tombstones.len() > MAX_TOMBSTONES {
            return Err("snapshot has too many records".into());
        }
        let records = snapshot
            .records
            .iter()
            .map(|item| item.record(settings))
            .collect::<Result<Vec<_>, _>>()?;
        snapshot.check(&records)?;
        Ok((snapshot, records))
    }

    fn check(&self, records: &[Record]) -> Result<(), String> {
        if !records.windows(2).all(|pair| pair[0].key() < pair[1].key()) {
            return Err("snapshot records are not sorted".into());
        }
        if !self
            .tombstones
            .windows(2)
            .all(|pair| pair[0].key() < pair[1].key())
        {
            return Err("snapshot tombstones are not sorted".into());
        }
        let revisions = records.iter().map(|record| record.revision);
        let mut revisions =
            revisions.chain(self.tombstones.iter().map(|tombstone| tombstone.revision));
        match revisions.find(|revision| !(1..=self.offset).contains(revision)) {
            None => Ok(()),
            Some(revision) => Err(format!(
                "revision `{revision}` is not between 1 and {}",
                self.offset
            )),
        }
    }
}

impl Item {
    fn new(record: &Record) -> Item {
        Item {
            kind: record.kind(),
            name: record.name().into(),
            schema: record.schema,
            revision: record.revision,
            body: record.json(),
        }
    }

    fn record(&self, settings: Settings) -> Result<Record, String> {
        if !(1..=settings.newest_schema).contains(&self.schema) {
            return Err(format!(
                "unknown schema `{}` of {} `{}`",
                self.schema, self.kind, self.name
            ));
        }
        let text = entry(self.kind, &self.name, NEWEST_SCHEMA, 0, &self.body);
        match decode::parse(&text, NEWEST_SCHEMA) {
            Ok(change) => {
                let body = change
                    .body
                    .ok_or_else(|| format!("{} `{}` has no body", self.kind, self.name))?;
                Ok(Record {
                    body,
                    revision: self.revision,
                    schema: self.schema,
                })
            }
            Err(decode::Error::Malformed(reason)) => {
                Err(format!("{} `{}`: {reason}", self.kind, self.name))
            }
            Err(decode::Error::UnknownSchema(schema)) => Err(format!("unknown schema `{schema}`")),
        }
    }
}
