use std::mem;

use super::{find, Fold, Record};
use crate::entry::Position;

impl Fold {
    /// Begins the era of `end` with its whole state. What was in force and is not in that state stays in force until a
    /// later record takes its place, since it was confirmed before the log came back from an older copy. Returns the
    /// records that changed.
    pub(super) fn adopt(&mut self, state: Vec<Record>, end: Position) -> Vec<Record> {
        let before = self.in_force();
        let known = mem::take(&mut self.records);
        let carried = mem::take(&mut self.carried);
        self.begin(end);
        for record in state {
            self.insert(record);
        }
        self.complete = end.offset;
        self.advance(end);
        let is_carried = |record: &Record| find(&carried, &record.key).is_ok();
        for record in known.into_iter().filter(|record| !is_carried(record)) {
            self.carry(record);
        }
        for record in carried.clone() {
            self.carry(record);
        }
        self.changes_since(&before)
    }

    /// Takes over records of earlier eras from another instance. Returns those that changed.
    pub fn recall(&mut self, records: Vec<Record>) -> Vec<Record> {
        let before = self.in_force();
        let era = self.end.era;
        for record in records {
            if record.position.era < era {
                self.carry(record);
            }
        }
        self.changes_since(&before)
    }

    /// Ends the carrying of records of earlier eras for which `stays` is false, unless the current era has an older
    /// value of a key whose values have an order. Returns the records that changed.
    pub fn settle(&mut self, stays: impl Fn(&Record) -> bool) -> Vec<Record> {
        if self.carried.is_empty() {
            return Vec::new();
        }
        let before = self.in_force();
        let records = &self.records;
        self.carried.retain(|carried| {
            let current = find(records, &carried.key).map(|at| &records[at]);
            let is_ranked = |record: &Record| record.value.is_some() && record.rank.is_some();
            let is_older = current.is_ok_and(is_ranked) && is_ranked(carried);
            is_older || stays(carried)
        });
        self.changes_since(&before)
    }

    /// Records of earlier eras that are in force, because nothing in the current era takes their place yet.
    pub fn carried(&self) -> &[Record] {
        &self.carried
    }

    /// Keeps a record of an earlier era in force, unless the current era or another record takes its place.
    fn carry(&mut self, record: Record) {
        let current = find(&self.records, &record.key).map(|at| &self.records[at]);
        let is_over = match current {
            Ok(current) => current.supersedes(&record, self.first),
            Err(_) => record.value.is_none(),
        };
        if is_over || !self.guards.carry {
            return;
        }
        match find(&self.carried, &record.key) {
            Ok(at) if record.outlives(&self.carried[at]) => self.carried[at] = record,
            Ok(_) => {}
            Err(at) => self.carried.insert(at, record),
        }
    }

    /// Ends the carrying of a record whose place the known record of the same key takes. Returns whether a record of
    /// this key is still carried.
    pub(super) fn is_still_carried(&mut self, key: &str) -> bool {
        let (Ok(at), Ok(known)) = (find(&self.carried, key), find(&self.records, key)) else {
            return false;
        };
        let is_over = self.records[known].supersedes(&self.carried[at], self.first);
        if is_over {
            self.carried.remove(at);
        }
        !is_over
    }

    /// The record of each key that is in force, in order; removals too.
    fn in_force(&self) -> Vec<Record> {
        let is_carried = |record: &&Record| find(&self.carried, &record.key).is_ok();
        let records = self.records.iter().filter(|record| !is_carried(record));
        let mut all: Vec<Record> = records.chain(&self.carried).cloned().collect();
        all.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// The records whose values differ from those that were in force before.
    fn changes_since(&self, before: &[Record]) -> Vec<Record> {
        let now = self.in_force();
        let value = |records: &[Record], key: &str| {
            let at = find(records, key).ok()?;
            records[at].value.clone()
        };
        let mut changed = Vec::new();
        for record in before {
            if record.value.is_some() && value(&now, &record.key).is_none() {
                changed.push(Record {
                    key: record.key.clone(),
                    position: self.end,
                    ..Record::default()
                });
            }
        }
        for record in now {
            if record.value.is_some() && record.value != value(before, &record.key) {
                changed.push(record);
            }
        }
        changed
    }
}
