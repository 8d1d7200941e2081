use std::cell::Cell;
use std::time::Duration;

use crate::entry::backlog::Sums;
use crate::entry::{Backlog, Load, Prefill, Row, TargetKey};

/// What a piece of work belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// A request of this instance, by its number.
    Own(u64),
    /// Another instance, by the number that the view gave to its last heartbeat.
    Peer(u64),
    /// A granted slot, by the number of its permit.
    Permit(u64),
}

/// What a piece of work belongs to, and the time from which it does not count any more.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    pub(super) expires: Duration,
    pub(super) source: Source,
}

/// Part of a prompt at one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    pub(super) background: bool,
    pub(super) finished: bool,
    pub(super) held: bool,
    pub(super) start: Duration,
    pub(super) time: Duration,
}

/// Work of all instances by target, added up as the work changes. A decision would take most of its time to find the
/// target of each piece of work and to add up the same values anew.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Sorted by target; none is without work.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    parts: Vec<(Origin, Part)>,
    rows: Vec<(Origin, Row)>,
    target: TargetKey,
    /// None after a change: most instances apply many more changes than they make decisions.
    total: Cell<Option<Total>>,
}

/// Sums over the work at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    /// Load without the remaining prefill times.
    load: Load,
    /// What the remaining prefill times depend on.
    sums: Sums,
    /// Time at which the first piece of work expires.
    until: Duration,
}

impl Total {
    fn load(&self, now: Duration) -> Load {
        Load {
            background: self.sums.background(now),
            backlog: self.sums.ahead(now),
            ..self.load
        }
    }
}

impl Index {
    /// Adds work at one target.
    pub(super) fn add_row(&mut self, origin: Origin, row: Row) {
        let entry = self.entry(row.target);
        entry.rows.push((origin, row));
        entry.total.set(None);
    }

    /// Adds a part of a prompt at one target.
    pub(super) fn add_part(&mut self, origin: Origin, target: TargetKey, part: Part) {
        let entry = self.entry(target);
        entry.parts.push((origin, part));
        entry.total.set(None);
    }

    /// Adds the parts of a prompt.
    pub(super) fn add_prefill(&mut self, origin: Origin, prefill: &Prefill, start: Duration) {
        let part = Part {
            background: prefill.background,
            finished: prefill.finished,
            held: prefill.held,
            start,
            time: Duration::from_millis(u64::from(prefill.part_ms)),
        };
        for target in &prefill.targets {
            self.add_part(origin, *target, part);
        }
    }

    /// Marks the parts of a source as finished.
    pub(super) fn finish_parts(&mut self, source: Source, targets: &[TargetKey]) {
        for target in targets {
            self.change(*target, |entry| {
                let parts = entry.parts.iter_mut();
                let own = parts.filter(|(origin, _)| origin.source == source);
                own.for_each(|(_, part)| part.finished = true);
            });
        }
    }

    /// Removes the work of a source at these targets, except parts of prompts.
    pub(super) fn remove_rows(
        &mut self,
        source: Source,
        targets: impl IntoIterator<Item = TargetKey>,
    ) {
        for target in targets {
            self.change(target, |entry| {
                entry.rows.retain(|(origin, _)| origin.source != source);
            });
        }
    }

    /// Removes the parts of prompts of a source at these targets.
    pub(super) fn remove_parts(
        &mut self,
        source: Source,
        targets: impl IntoIterator<Item = TargetKey>,
    ) {
        for target in targets {
            self.change(target, |entry| {
                entry.parts.retain(|(origin, _)| origin.source != source);
            });
        }
    }

    /// Load of each target at `now`, without the parts of prompts of the source `except`, sorted by target.
    pub(super) fn loads(&self, except: Option<Source>, now: Duration) -> Vec<(TargetKey, Load)> {
        let mut loads = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            let load = entry.load(except, now);
            loads.extend(load.map(|load| (entry.target, load)));
        }
        loads
    }

    fn entry(&mut self, target: TargetKey) -> &mut Entry {
        let found = self.find(target);
        let at = found.unwrap_or_else(|at| {
            let entry = Entry {
                parts: Vec::new(),
                rows: Vec::new(),
                target,
                total: Cell::default(),
            };
            self.entries.insert(at, entry);
            at
        });
        &mut self.entries[at]
    }

    fn change(&mut self, target: TargetKey, change: impl FnOnce(&mut Entry)) {
        let Ok(at) = self.find(target) else {
            return;
        };
        let entry = &mut self.entries[at];
        change(entry);
        entry.total.set(None);
        if entry.rows.is_empty() && entry.parts.is_empty() {
            self.entries.remove(at);
        }
    }

    fn find(&self, target: TargetKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&target, |entry| entry.target)
    }
}

impl Entry {
    /// Its load; none without work that counts.
    fn load(&self, except: Option<Source>, now: Duration) -> Option<Load> {
        // The start of held parts depends on the time.
        let total = self.total();
        if except.is_none() && now < total.until && !total.load.held {
            return Some(total.load(now));
        }
        self.add_up(except, now).map(|total| total.load(now))
    }

    /// The total of all work, computed after a change.
    fn total(&self) -> Total {
        if let Some(total) = self.total.get() {
            return total;
        }
        // All work counts at the earliest time. Without work, the total is not used: it ends at that time.
        let total = self.add_up(None, Duration::ZERO).unwrap_or_default();
        self.total.set(Some(total));
        total
    }

    /// Sums over the work that counts at `now`; none without any.
    fn add_up(&self, except: Option<Source>, now: Duration) -> Option<Total> {
        let mut load = Load::default();
        let mut backlog = Backlog::default();
        let mut until: Option<Duration> = None;
        let mut count = |origin: &Origin| {
            until = Some(until.map_or(origin.expires, |until| until.min(origin.expires)));
        };
        for (origin, row) in self.rows.iter().filter(|(origin, _)| now < origin.expires) {
            add_row(&mut load, row);
            count(origin);
        }
        let is_counted = |origin: &Origin| now < origin.expires && Some(origin.source) != except;
        for (origin, part) in self.parts.iter().filter(|(origin, _)| is_counted(origin)) {
            load.held |= part.held;
            // Parts that are not sent yet stay as long as they are.
            let start = if part.held { now } else { part.start };
            backlog.add(start, part.time, part.background, part.finished);
            count(origin);
        }
        let sums = backlog.sums();
        until.map(|until| Total { load, sums, until })
    }
}

fn add_row(load: &mut Load, row: &Row) {
    load.short = load.short.saturating_add(row.short);
    load.running = load.running.saturating_add(row.running);
    load.tokens = load.tokens.saturating_add(row.tokens);
    if row.gap_ms > 0 {
        let gap = Duration::from_millis(u64::from(row.gap_ms));
        load.gap = Some(load.gap.map_or(gap, |known| known.min(gap)));
    }
}
