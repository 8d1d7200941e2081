use std::time::Duration;

use super::index::{Index, Origin, Source};
use super::PEER_TIMEOUT;
use crate::entry::permit::Update;
use crate::entry::{Prefill, Row, TargetKey};
use crate::id::{Incarnation, InstanceId};

/// A prompt of another instance.
#[derive(Clone, Debug)]
pub(super) struct PeerPrefill {
    pub(super) prefill: Prefill,
    /// Time at which it was first reported.
    pub(super) reported: Duration,
    pub(super) start: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) incarnation: Incarnation,
    pub(super) instance: InstanceId,
    pub(super) last_heartbeat: Duration,
    /// Number of its last heartbeat in the view.
    pub(super) number: u64,
    pub(super) prefills: Vec<PeerPrefill>,
    pub(super) rows: Vec<Row>,
    pub(super) sequence: u64,
    /// Changes of single rows that are newer than the last heartbeat, in order of their sequence.
    pub(super) updates: Vec<Update>,
}

impl Peer {
    /// Its work at each target.
    pub(super) fn current_rows(&self) -> impl Iterator<Item = &Row> {
        let newest = |row: &Row| {
            let updates = self.updates.iter().rev();
            updates
                .map(|update| &update.row)
                .find(|updated| updated.target == row.target)
        };
        let known = |target| self.rows.iter().any(|row| row.target == target);
        let added = self.updates.iter().enumerate().filter(move |(at, update)| {
            let later = &self.updates[at + 1..];
            let is_newest = later
                .iter()
                .all(|later| later.row.target != update.row.target);
            is_newest && !known(update.row.target)
        });
        let rows = self.rows.iter().map(move |row| newest(row).unwrap_or(row));
        rows.chain(added.map(|(_, update)| &update.row))
    }

    /// Adds its load.
    pub(super) fn index(&self, index: &mut Index) {
        for row in self.current_rows() {
            index.add_row(self.origin(), *row);
        }
        for prefill in &self.prefills {
            index.add_prefill(self.origin(), &prefill.prefill, prefill.start);
        }
    }

    /// Removes its load.
    pub(super) fn unindex(&self, index: &mut Index) {
        let source = self.origin().source;
        index.remove_rows(source, self.current_rows().map(|row| row.target));
        let prefills = self.prefills.iter();
        let targets = prefills.flat_map(|prefill| &prefill.prefill.targets);
        index.remove_parts(source, targets.copied());
    }

    /// Adds a prompt and its load, unless the prompt is known.
    pub(super) fn add_prefill(&mut self, prefill: PeerPrefill, index: &mut Index) {
        let number = prefill.prefill.number;
        let known = &self.prefills;
        let found = known.binary_search_by_key(&number, |known| known.prefill.number);
        if let Err(at) = found {
            index.add_prefill(self.origin(), &prefill.prefill, prefill.start);
            self.prefills.insert(at, prefill);
        }
    }

    /// Replaces its work at one target by the current one.
    pub(super) fn reindex_rows(&self, target: TargetKey, index: &mut Index) {
        index.remove_rows(self.origin().source, [target]);
        for row in self.current_rows().filter(|row| row.target == target) {
            index.add_row(self.origin(), *row);
        }
    }

    fn origin(&self) -> Origin {
        Origin {
            expires: self.last_heartbeat + PEER_TIMEOUT,
            source: Source::Peer(self.number),
        }
    }
}

/// Converts a prompt from a heartbeat. The start is computed when the prompt is first reported and does not change
/// after that.
pub(super) fn track(known: &[PeerPrefill], prefill: &Prefill, now: Duration) -> PeerPrefill {
    let found = known.binary_search_by_key(&prefill.number, |known| known.prefill.number);
    let age = Duration::from_millis(u64::from(prefill.age_ms));
    let (reported, start) = match found {
        Ok(at) => (known[at].reported, known[at].start),
        Err(_) => (now, now.saturating_sub(age)),
    };
    PeerPrefill {
        prefill: prefill.clone(),
        reported,
        start,
    }
}

/// Adds a prompt unless it is known.
pub(super) fn insert_prefill(prefills: &mut Vec<PeerPrefill>, prefill: PeerPrefill) {
    let number = prefill.prefill.number;
    let found = prefills.binary_search_by_key(&number, |known| known.prefill.number);
    if let Err(at) = found {
        prefills.insert(at, prefill);
    }
}
