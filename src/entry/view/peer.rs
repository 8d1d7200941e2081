use std::time::Duration;

use crate::entry::permit::Update;
use crate::entry::{Prefill, Row};
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
