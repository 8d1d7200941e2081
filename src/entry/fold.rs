use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Maximum number of removals that are remembered. They only keep an older value from returning, which happens within
/// seconds.
const MAX_REMOVALS: usize = 1_024;

/// A record of the log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Offset in the log.
    pub offset: Offset,
    /// Value; none if the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// Safety rules of a fold, all on; only verification turns them off.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Guards {
    /// An instance that may have missed a removal passes on its whole state.
    pub complete: bool,
    /// An older record never replaces a newer one of the same key.
    pub newest: bool,
    /// A whole state removes no key of which a newer record is known.
    pub stale: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            complete: true,
            newest: true,
            stale: true,
        }
    }
}

/// The newest record of each key of a topic. Records may arrive in any order and from any source: a key never returns
/// to an older value.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Fold {
    /// Offset from which on all removals are known. A whole state does not tell which keys were removed before it.
    complete: Offset,
    end: Offset,
    guards: Guards,
    known: bool,
    /// Sorted by key.
    records: Vec<Record>,
}

impl Fold {
    /// An empty fold with these guards; a search must find a violation if one is off.
    pub fn with(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }

    /// Applies a record; returns it if it is newer than the known record of its key.
    pub fn apply(&mut self, record: Record) -> Option<&Record> {
        self.end = self.end.max(record.offset.saturating_add(1));
        self.insert(record)
    }

    fn insert(&mut self, record: Record) -> Option<&Record> {
        let found = self
            .records
            .binary_search_by(|known| known.key.cmp(&record.key));
        let at = match found {
            Ok(at) if self.guards.newest && self.records[at].offset >= record.offset => {
                return None;
            }
            Ok(at) => {
                self.records[at] = record;
                at
            }
            // All keys that existed at `complete` are known, so this one was removed before.
            Err(_) if self.guards.newest && record.offset < self.complete => return None,
            Err(at) => {
                self.records.insert(at, record);
                at
            }
        };
        Some(&self.records[at])
    }

    /// Offset after the last record that was applied.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Whether the complete state at some offset is known.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Notes that all records before `end` were applied.
    pub fn advance(&mut self, end: Offset) {
        self.known = true;
        self.end = self.end.max(end);
        self.trim_removals();
    }

    /// Applies a whole state that was read at `end`; keys that it lacks are removed, unless a newer record of them is
    /// known. The state may hold records from `end` on, which were read later than the others: they do not move the end,
    /// since other records before them may be missing. Returns the records that changed.
    pub fn replace(&mut self, state: Vec<Record>, end: Offset) -> Vec<Record> {
        let before = self.end;
        let mut changed = Vec::new();
        for known in &mut self.records {
            let is_newer = known.offset >= end && self.guards.stale;
            if is_newer || state.iter().any(|record| record.key == known.key) {
                continue;
            }
            // The key may have been added and removed again up to `end`.
            known.offset = known.offset.max(end.saturating_sub(1));
            if known.value.take().is_some() {
                changed.push(known.clone());
            }
        }
        for record in state {
            changed.extend(self.insert(record).cloned());
        }
        if !self.known || end > before {
            self.complete = self.complete.max(end);
        }
        self.advance(end);
        changed
    }

    /// The newest records from `from` on, including removals; none if removals since then may be unknown here.
    pub fn since(&self, from: Offset) -> Option<Vec<Record>> {
        if from < self.complete && self.guards.complete {
            return None;
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        Some(records.cloned().collect())
    }

    /// The newest record of each key that has a value.
    pub fn state(&self) -> Vec<Record> {
        let records = self.records.iter().filter(|record| record.value.is_some());
        records.cloned().collect()
    }

    /// The keys that have a value, in order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        let records = self.records.iter().filter(|record| record.value.is_some());
        records.map(|record| record.key.as_str())
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        let found = self
            .records
            .binary_search_by(|known| known.key.as_str().cmp(key));
        self.records.get(found.ok()?)?.value.as_deref()
    }

    fn trim_removals(&mut self) {
        let mut removed: Vec<Offset> = self
            .records
            .iter()
            .filter(|record| record.value.is_none())
            .map(|record| record.offset)
            .collect();
        if removed.len() <= MAX_REMOVALS {
            return;
        }
        removed.sort_unstable();
        let first = removed[removed.len() - MAX_REMOVALS];
        self.complete = self.complete.max(first);
        self.records
            .retain(|record| record.value.is_some() || record.offset >= first);
    }
}
