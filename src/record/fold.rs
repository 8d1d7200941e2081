use std::collections::VecDeque;
use std::fmt::Write;

use subtle::ConstantTimeEq;

use crate::error::{self, Error};
use crate::id::Offset;

use super::check::{MAX_ENTRY_BYTES, MAX_FOLD_BYTES, MAX_RECORDS};
use super::decode::{self, Change};
use super::snapshot::Snapshot;
use super::{
    Body, Guards, Kind, Record, Service, Settings, Target, Tombstone, Verdict, Workspace,
    MAX_TOMBSTONES, MAX_VERDICTS,
};

/// State of the records after applying all entries up to an offset.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Fold {
    bytes: usize,
    offset: Offset,
    records: Vec<Record>,
    settings: Settings,
    tombstones: Vec<Tombstone>,
    verdicts: VecDeque<Verdict>,
}

impl Fold {
    /// Creates an empty fold.
    pub fn new(settings: Settings) -> Fold {
        Fold {
            settings,
            ..Fold::default()
        }
    }

    /// Restores a fold from the bytes of [`Fold::snapshot`], with default settings.
    ///
    /// # Errors
    /// As [`Fold::from_snapshot_with`].
    pub fn from_snapshot(bytes: &[u8]) -> Result<Fold, Error> {
        Fold::from_snapshot_with(bytes, Settings::default())
    }

    /// Restores a fold from a snapshot. Verdicts are not part of a snapshot.
    ///
    /// # Errors
    /// `BadRequest` if the snapshot is malformed or contains a schema that this build does not read.
    pub fn from_snapshot_with(bytes: &[u8], settings: Settings) -> Result<Fold, Error> {
        let (snapshot, records) = Snapshot::decode(bytes, settings).map_err(|reason| {
            Error::new(error::Kind::BadRequest, format!("bad snapshot: {reason}"))
        })?;
        let bytes = records.iter().map(Record::bytes).sum();
        let Snapshot {
            offset, tombstones, ..
        } = snapshot;
        Ok(Fold {
            bytes,
            offset,
            records,
            settings,
            tombstones,
            verdicts: VecDeque::new(),
        })
    }

    /// Replaces this fold with one from a snapshot or a peer if that has a higher offset. Returns whether it did.
    pub fn adopt(&mut self, other: Fold) -> bool {
        if other.offset <= self.offset && self.settings.guards.monotonic {
            return false;
        }
        *self = Fold {
            settings: self.settings,
            ..other
        };
        true
    }

    /// Applies the entry at `offset`, which must follow the last one applied.
    ///
    /// # Errors
    /// `BadRequest` for a schema that this build does not read, `Internal` if `offset` is not the next one. The fold is
    /// unchanged after an error.
    pub fn apply(&mut self, offset: Offset, entry: &str) -> Result<Verdict, Error> {
        let next = self.offset + 1;
        if offset != next && self.guards().sequence {
            return Err(Error::new(
                error::Kind::Internal,
                format!("entry at offset `{offset}`, expected {next}"),
            ));
        }
        let verdict = match decode::decode(entry, self.settings.newest_schema) {
            Ok(change) => self.apply_change(offset, change),
            Err(decode::Error::Malformed(reason)) => Verdict::rejected(reason),
            Err(decode::Error::UnknownSchema(schema)) => self.unknown_schema(offset, schema)?,
        };
        self.offset = offset;
        self.verdicts.push_back(verdict.clone());
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        Ok(verdict)
    }

    /// Checks that a workspace may use a model with an adapter and a version.
    ///
    /// # Errors
    /// `Forbidden` if it may not, or if it names no version and only some versions are granted.
    pub fn authorize(
        &self,
        workspace: &str,
        model: &str,
        adapter: Option<&str>,
        version: Option<&str>,
    ) -> Result<(), Error> {
        let forbidden = |message: String| Err(Error::new(error::Kind::Forbidden, message));
        let Some(Body::Workspace(body)) = self.body(Kind::Workspace, workspace) else {
            return forbidden(format!("no workspace `{workspace}`"));
        };
        let Ok(index) = body
            .grants
            .binary_search_by(|grant| grant.model.as_str().cmp(model))
        else {
            return forbidden(format!(
                "model `{model}` is not granted to workspace `{workspace}`"
            ));
        };
        if !body.grants[index].covers_adapter(adapter) {
            let adapter = adapter.unwrap_or_default();
            return forbidden(format!(
                "adapter `{adapter}` of model `{model}` is not granted"
            ));
        }
        if body.grants[index].covers_version(version) {
            return Ok(());
        }
        match version {
            Some(version) => forbidden(format!(
                "version `{version}` of model `{model}` is not granted"
            )),
            None => forbidden(format!(
                "only some versions of model `{model}` are granted and the request names none"
            )),
        }
    }

    /// Whether the domain is in service; true for a domain without a record.
    pub fn domain_in_service(&self, domain: &str) -> bool {
        match self.body(Kind::Domain, domain) {
            Some(Body::Domain(domain)) => domain.in_service,
            _ => true,
        }
    }

    /// Offset of the last entry applied; 0 if none.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// The record of this kind and name.
    pub fn record(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.find(kind, name).ok().map(|index| &self.records[index])
    }

    /// All records, sorted by kind and name.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// The base that the next entry for this record must have: the revision of the record or of its deletion, or 0.
    pub fn revision(&self, kind: Kind, name: &str) -> Offset {
        if let Some(record) = self.record(kind, name) {
            return record.revision;
        }
        self.tombstone(kind, name)
            .map_or(0, |index| self.tombstones[index].revision)
    }

    /// The record of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.body(Kind::Service, name) {
            Some(Body::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// The fold as bytes; folds with the same records, tombstones and offset have the same bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot::new(self.offset, &self.records, &self.tombstones);
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// The record of a target.
    pub fn target(&self, name: &str) -> Option<&Target> {
        match self.body(Kind::Target, name) {
            Some(Body::Target(target)) => Some(target),
            _ => None,
        }
    }

    /// The verdict on the entry at `offset`, if it is among the last [`MAX_VERDICTS`] that this process applied.
    pub fn verdict(&self, offset: Offset) -> Option<&Verdict> {
        let first = (self.offset + 1).checked_sub(self.verdicts.len() as Offset)?;
        let index = offset.checked_sub(first)?;
        self.verdicts.get(usize::try_from(index).ok()?)
    }

    /// The record of a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        match self.body(Kind::Workspace, name) {
            Some(Body::Workspace(workspace)) => Some(workspace),
            _ => None,
        }
    }

    /// The workspace that has the key with this SHA-256 digest. Compares all keys, each in constant time.
    pub fn workspace_by_key(&self, digest: &[u8; 32]) -> Option<&Workspace> {
        let digest = hex(digest);
        let mut found = None;
        for workspace in self.workspaces() {
            for key in &workspace.keys {
                if bool::from(key.as_bytes().ct_eq(digest.as_bytes())) {
                    found = Some(workspace);
                }
            }
        }
        found
    }

    /// Remembers the revision of a deleted record.
    fn add_tombstone(&mut self, offset: Offset, kind: Kind, name: String) {
        if !self.guards().tombstone {
            return;
        }
        if let Err(index) = self.tombstone(kind, &name) {
            self.tombstones.insert(
                index,
                Tombstone {
                    kind,
                    name,
                    revision: offset,
                },
            );
        }
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self
            .tombstones
            .iter()
            .enumerate()
            .min_by_key(|(_, tombstone)| tombstone.revision);
        if let Some((index, _)) = oldest {
            self.tombstones.remove(index);
        }
    }

    fn apply_change(&mut self, offset: Offset, change: Change) -> Verdict {
        let revision = self.revision(change.kind, &change.name);
        if change.base != revision && self.guards().base {
            let Change {
                base, kind, name, ..
            } = change;
            let reason = format!("base `{base}` of {kind} `{name}` is not its revision {revision}");
            return Verdict::rejected(reason);
        }
        let result = match change.body {
            None => self.delete(offset, change.kind, &change.name),
            Some(body) => self.put(Record {
                body,
                revision: offset,
                schema: change.schema,
            }),
        };
        match result {
            Ok(()) => Verdict::Accepted {
                kind: change.kind,
                name: change.name,
                revision: offset,
            },
            Err(reason) => Verdict::rejected(reason),
        }
    }

    fn body(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.record(kind, name).map(|record| &record.body)
    }

    /// A key that belongs to two workspaces would not identify the workspace of a caller.
    fn check_unique_keys(&self, body: &Body) -> Result<(), String> {
        let Body::Workspace(body) = body else {
            return Ok(());
        };
        for workspace in self
            .workspaces()
            .filter(|workspace| workspace.name != body.name)
        {
            if let Some(key) = body
                .keys
                .iter()
                .find(|key| workspace.keys.binary_search(key).is_ok())
            {
                return Err(format!(
                    "key digest `{key}` belongs to workspace `{}`",
                    workspace.name
                ));
            }
        }
        Ok(())
    }

    fn delete(&mut self, offset: Offset, kind: Kind, name: &str) -> Result<(), String> {
        let Ok(index) = self.find(kind, name) else {
            return Err(format!("no {kind} `{name}` to delete"));
        };
        self.bytes -= self.records.remove(index).bytes();
        self.add_tombstone(offset, kind, name.into());
        Ok(())
    }

    fn find(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.key().cmp(&(kind, name)))
    }

    fn guards(&self) -> Guards {
        self.settings.guards
    }

    fn put(&mut self, record: Record) -> Result<(), String> {
        self.check_unique_keys(&record.body)?;
        let position = self.find(record.kind(), record.name());
        let old = position.map_or(0, |index| self.records[index].bytes());
        let new = record.bytes();
        if new > MAX_ENTRY_BYTES {
            return Err(format!(
                "record would have {new} bytes, which is more than {MAX_ENTRY_BYTES}"
            ));
        }
        let bytes = self.bytes - old + new;
        if bytes > MAX_FOLD_BYTES {
            return Err(format!(
                "all records together would be larger than {MAX_FOLD_BYTES} bytes"
            ));
        }
        if position.is_err() && self.records.len() >= MAX_RECORDS {
            return Err(format!("the limit of {MAX_RECORDS} records is reached"));
        }
        if let Ok(index) = self.tombstone(record.kind(), record.name()) {
            self.tombstones.remove(index);
        }
        self.bytes = bytes;
        match position {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
        Ok(())
    }

    fn tombstone(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.tombstones
            .binary_search_by(|tombstone| tombstone.key().cmp(&(kind, name)))
    }

    /// Stops the fold at an entry of an unknown schema.
    fn unknown_schema(&self, offset: Offset, schema: u64) -> Result<Verdict, Error> {
        let reason = format!("unknown schema `{schema}` at offset {offset}");
        if self.guards().known_schema {
            return Err(Error::new(error::Kind::BadRequest, reason));
        }
        Ok(Verdict::rejected(reason))
    }

    fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.records.iter().filter_map(|record| match &record.body {
            Body::Workspace(workspace) => Some(workspace),
            Body::Domain(_) | Body::Service(_) | Body::Target(_) => None,
        })
    }
}

fn hex(digest: &[u8]) -> String {
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
