//! The newest record of each key of a topic.

mod carry;
mod guards;
mod record;

use super::Position;
use crate::id::Offset;
pub use guards::Guards;
pub use record::{Rank, Record};

/// Maximum number of removals that are remembered. They only keep an older value from returning, which happens within
/// seconds.
const MAX_REMOVALS: usize = 1_024;

/// The newest record of each key of a topic. Records may arrive in any order and from any source: a key never returns
/// to an older value, also if the log comes back from an older copy of itself, which begins a new era.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Fold {
    /// Records of earlier eras that are in force instead of the current era's, sorted by key.
    carried: Vec<Record>,
    /// Offset from which on all removals are known. A whole state does not tell which keys were removed before it.
    complete: Offset,
    end: Position,
    /// End of the first state of the current era: records from here on were written in this era. Not used in era 0.
    first: Offset,
    guards: Guards,
    known: bool,
    /// Records of the current era, sorted by key.
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

    /// Applies a record of the current era; returns it if it came into force. Records of other eras change nothing.
    pub fn apply(&mut self, record: Record) -> Option<&Record> {
        if self.guards.era && record.position.era != self.end.era {
            return None;
        }
        let after = record.position.offset.saturating_add(1);
        self.end.offset = self.end.offset.max(after);
        self.insert(record)
    }

    fn insert(&mut self, mut record: Record) -> Option<&Record> {
        let offset = record.position.offset;
        let found = find(&self.records, &record.key);
        let at = match found {
            Ok(at) if self.guards.newest && self.records[at].position.offset >= offset => {
                return None;
            }
            Ok(at) => {
                if record.value.is_none() {
                    record.rank = record.rank.or(self.records[at].rank);
                }
                self.records[at] = record;
                at
            }
            // All keys that existed at `complete` are known, so this one was removed before.
            Err(_) if self.guards.newest && offset < self.complete => return None,
            Err(at) => {
                self.records.insert(at, record);
                at
            }
        };
        let key = self.records[at].key.clone();
        match self.is_still_carried(&key) {
            true => None,
            false => Some(&self.records[at]),
        }
    }

    /// Position after the last record that was applied.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Whether the complete state at some position is known.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Notes that all records of the current era before `end` were applied.
    pub fn advance(&mut self, end: Position) {
        if self.guards.era && end.era != self.end.era {
            return;
        }
        self.known = true;
        self.end.offset = self.end.offset.max(end.offset);
        self.trim_removals();
    }

    /// Applies a whole state that was read at `end`; keys that it lacks are removed, unless a newer record of them is
    /// known. The state may hold records from `end` on, which were read later than the others: they do not move the end,
    /// since other records before them may be missing. A state of a later era begins that era, one of an earlier era
    /// changes nothing. Returns the records that changed.
    pub fn replace(&mut self, state: Vec<Record>, end: Position) -> Vec<Record> {
        if self.guards.era && end.era < self.end.era {
            return Vec::new();
        }
        if self.guards.era && end.era > self.end.era {
            return self.adopt(state, end);
        }
        let before = self.end.offset;
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for known in &mut self.records {
            let is_newer = known.position.offset >= end.offset && self.guards.stale;
            if is_newer || state.iter().any(|record| record.key == known.key) {
                continue;
            }
            // The key may have been added and removed again up to `end`.
            let last = end.offset.saturating_sub(1);
            known.position.offset = known.position.offset.max(last);
            if known.value.take().is_some() {
                removed.push(known.clone());
            }
        }
        for record in removed {
            if !self.is_still_carried(&record.key) {
                changed.push(record);
            }
        }
        for record in state {
            changed.extend(self.insert(record).cloned());
        }
        if !self.known || end.offset > before {
            self.complete = self.complete.max(end.offset);
        }
        self.advance(end);
        changed
    }

    /// The newest records from `from` on, including removals; none if removals since then may be unknown here.
    pub fn since(&self, from: Position) -> Option<Vec<Record>> {
        let is_other = self.guards.era && from.era != self.end.era;
        if is_other || (from.offset < self.complete && self.guards.complete) {
            return None;
        }
        let is_since = |record: &&Record| record.position.offset >= from.offset;
        Some(self.records.iter().filter(is_since).cloned().collect())
    }

    /// The newest record of each key that has a value in the log.
    pub fn state(&self) -> Vec<Record> {
        let records = self.records.iter().filter(|record| record.value.is_some());
        records.cloned().collect()
    }

    /// The keys that have a value in the log, in order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        let records = self.records.iter().filter(|record| record.value.is_some());
        records.map(|record| record.key.as_str())
    }

    /// The value of a key in the log.
    pub fn recorded(&self, key: &str) -> Option<&[u8]> {
        let at = find(&self.records, key).ok()?;
        self.records[at].value.as_deref()
    }

    /// The value of a key that is in force: that of the log, or one of an earlier era.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        match find(&self.carried, key) {
            Ok(at) => self.carried[at].value.as_deref(),
            Err(_) => self.recorded(key),
        }
    }

    /// The highest rank of a value in force, if any has one.
    pub fn rank(&self) -> Option<Rank> {
        let all = self.records.iter().chain(&self.carried);
        let values = all.filter(|record| record.value.is_some());
        values.filter_map(|record| record.rank).max()
    }

    /// Forgets the log's records, to begin another era.
    fn begin(&mut self, end: Position) {
        self.end = Position::new(end.era, 0);
        self.first = end.offset;
        self.complete = 0;
        self.known = false;
    }

    fn trim_removals(&mut self) {
        let mut removed: Vec<Offset> = self
            .records
            .iter()
            .filter(|record| record.value.is_none())
            .map(|record| record.position.offset)
            .collect();
        if removed.len() <= MAX_REMOVALS {
            return;
        }
        removed.sort_unstable();
        let first = removed[removed.len() - MAX_REMOVALS];
        self.complete = self.complete.max(first);
        self.records
            .retain(|record| record.value.is_some() || record.position.offset >= first);
    }
}

/// Place of a key in records sorted by key.
fn find(records: &[Record], key: &str) -> Result<usize, usize> {
    records.binary_search_by(|known| known.key.as_str().cmp(key))
}
