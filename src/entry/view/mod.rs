mod index;
mod order;
mod own;
mod peer;
mod permit;
mod work;

use std::time::Duration;

use index::{Index, Source};
use own::{OwnPrefill, OwnRequest};
use peer::{insert_prefill, track, Peer, PeerPrefill};

use super::admission::{Waiting, Waitlist};
use super::permit::Update;
use super::{Heartbeat, Load, Prefill, Row, TargetKey};
use crate::id::Incarnation;

pub use permit::Permit;
pub use work::Work;

/// Time without a heartbeat after which an instance's work is dropped: several heartbeats at the lowest rate were lost,
/// so the instance is gone or unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Work of all instances at the targets, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Work that counts, by target. Follows each change of the fields below.
    index: Index,
    last_number: u64,
    /// Number of the last heartbeat that was applied.
    last_peer: u64,
    /// Slots that this instance granted and whose use is not confirmed yet.
    permits: Vec<Permit>,
    /// This instance's requests, sorted by number.
    own: Vec<OwnRequest>,
    /// Sorted by instance.
    peers: Vec<Peer>,
    /// This instance's prompts in prefill or recently prefilled, sorted by number.
    prefills: Vec<OwnPrefill>,
    /// This instance's long prompts without a placement.
    waiting: Waitlist,
}

impl View {
    /// Adds a request of this instance; returns its number.
    pub fn start(&mut self, work: Work) -> u64 {
        self.last_number += 1;
        let helpers = work.helpers.iter().map(|(helper, _)| *helper);
        let own = OwnPrefill {
            prefill: Prefill {
                age_ms: 0,
                background: work.background,
                number: self.last_number,
                part_ms: millis(work.part_time),
                rank: work.rank,
                finished: false,
                held: work.held,
                targets: std::iter::once(work.primary).chain(helpers).collect(),
            },
            start: work.start,
        };
        own.index(&mut self.index);
        self.prefills.push(own);
        let request = OwnRequest {
            number: self.last_number,
            work,
        };
        request.index(&mut self.index);
        self.own.push(request);
        self.last_number
    }

    /// Records that the prefill of a request is finished.
    pub fn finish_prefill(&mut self, number: u64) {
        if let Ok(at) = self.prefill(number) {
            let prefill = &mut self.prefills[at].prefill;
            prefill.finished = true;
            self.index
                .finish_parts(Source::Own(number), &prefill.targets);
        }
    }

    /// Removes a request; returns its work, if the request was still there and not only held.
    pub fn finish(&mut self, number: u64) -> Option<Work> {
        let found = self
            .own
            .binary_search_by_key(&number, |request| request.number);
        let removed = found.ok().map(|at| self.own.remove(at));
        if let Some(request) = &removed {
            request.unindex(&mut self.index);
        }
        match self.prefill(number) {
            // The end of the request also ended its prefill.
            Ok(at) if !self.prefills[at].prefill.finished => {
                self.prefills.remove(at).unindex(&mut self.index);
            }
            Ok(_) | Err(_) => {}
        }
        let removed = removed.map(|request| request.work);
        removed.filter(|work| !work.held)
    }

    /// Work of this instance at one target, and the prompt of the request `number`, for an update.
    pub fn own_work(
        &self,
        target: TargetKey,
        number: Option<u64>,
        now: Duration,
    ) -> (Row, Option<Prefill>) {
        let mut rows = self.rows();
        let row = *row(&mut rows, target);
        let found = number.and_then(|number| self.prefill(number).ok());
        (row, found.map(|at| self.prefills[at].aged(now)))
    }

    /// Adds a slot that was granted to a request of any instance.
    pub fn grant(&mut self, permit: Permit) {
        permit.index(&mut self.index);
        self.permits.push(permit);
    }

    /// Removes a granted slot whose use is confirmed, or that is not used.
    pub fn end_permit(&mut self, number: u64) -> bool {
        let before = self.permits.len();
        let ended = self
            .permits
            .extract_if(.., |permit| permit.number == number);
        ended.for_each(|permit| permit.unindex(&mut self.index));
        self.permits.len() < before
    }

    /// Applies the change of another instance's work at one target, and ends the permit that it names. Ignored if the
    /// instance is not known by a heartbeat, whose work is not counted then. The work is that of a later heartbeat or
    /// update if one was applied before.
    pub fn update(
        &mut self,
        instance: &str,
        incarnation: Incarnation,
        update: &Update,
        now: Duration,
    ) {
        let found = self
            .peers
            .binary_search_by(|known| known.instance.as_str().cmp(instance));
        let Some(peer) = found.ok().map(|at| &mut self.peers[at]) else {
            return;
        };
        if peer.incarnation != incarnation {
            return;
        }
        let sequence = |update: &Update| update.sequence;
        let found = peer
            .updates
            .binary_search_by_key(&update.sequence, sequence);
        if let (Err(at), true) = (found, update.sequence > peer.sequence) {
            if let Some(prefill) = &update.prefill {
                peer.add_prefill(track(&[], prefill, now), &mut self.index);
            }
            peer.updates.insert(at, update.clone());
            peer.reindex_rows(update.row.target, &mut self.index);
        }
        self.end_permit(update.permit);
    }

    /// Adds a waiting prompt of this instance; returns its number.
    pub fn start_waiting(&mut self, waiting: Waiting) -> u64 {
        self.last_number += 1;
        self.waiting.add(self.last_number, waiting);
        self.last_number
    }

    /// Removes a waiting prompt.
    pub fn finish_waiting(&mut self, number: u64) {
        self.waiting.remove(number);
    }

    fn prefill(&self, number: u64) -> Result<usize, usize> {
        self.prefills
            .binary_search_by_key(&number, |own| own.prefill.number)
    }

    /// Applies a heartbeat of another instance; false if a newer one of the same process was applied before.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        let found = self
            .peers
            .binary_search_by(|known| known.instance.cmp(&heartbeat.instance));
        let before = found.ok().map(|at| &self.peers[at]);
        let before = before.filter(|known| known.incarnation == heartbeat.incarnation);
        if before.is_some_and(|known| known.sequence >= heartbeat.sequence) {
            return false;
        }
        let known = before.map_or(&[][..], |known| &known.prefills[..]);
        let prefills = heartbeat.prefills.iter();
        let mut prefills: Vec<PeerPrefill> =
            prefills.map(|prefill| track(known, prefill, now)).collect();
        let updates: Vec<Update> = before.map_or(Vec::new(), |known| {
            let updates = known.updates.iter();
            let is_newer = |update: &&Update| update.sequence > heartbeat.sequence;
            updates.filter(is_newer).cloned().collect()
        });
        for prefill in updates.iter().filter_map(|update| update.prefill.as_ref()) {
            insert_prefill(&mut prefills, track(known, prefill, now));
        }
        self.last_peer += 1;
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            instance: heartbeat.instance.clone(),
            last_heartbeat: now,
            number: self.last_peer,
            prefills,
            rows: heartbeat.rows.clone(),
            sequence: heartbeat.sequence,
            updates,
        };
        peer.index(&mut self.index);
        match found {
            Ok(at) => std::mem::replace(&mut self.peers[at], peer).unindex(&mut self.index),
            Err(at) => self.peers.insert(at, peer),
        }
        true
    }

    /// Removes instances without recent heartbeats, and prompts that were prefilled long ago.
    pub fn expire(&mut self, now: Duration) {
        let index = &mut self.index;
        self.permits
            .extract_if(.., |permit| now >= permit.expires)
            .for_each(|permit| permit.unindex(index));
        self.prefills
            .extract_if(.., |own| {
                own.prefill.finished && now >= own.start + own.retention()
            })
            .for_each(|own| own.unindex(index));
        self.peers
            .extract_if(.., |peer| now >= peer.last_heartbeat + PEER_TIMEOUT)
            .for_each(|peer| peer.unindex(index));
    }

    /// Number of this instance's requests at targets.
    pub fn request_count(&self) -> usize {
        self.own.len()
    }

    /// Running requests of this instance by target, sorted by target.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        for request in self.own.iter().filter(|request| !request.work.held) {
            let work = &request.work;
            let row = row(&mut rows, work.primary);
            row.running += 1;
            row.short += u32::from(work.short);
            row.tokens = row.tokens.saturating_add(work.tokens);
            let gap = millis(work.gap);
            if gap > 0 && (row.gap_ms == 0 || gap < row.gap_ms) {
                row.gap_ms = gap;
            }
            for (helper, tokens) in &work.helpers {
                let row = self::row(&mut rows, *helper);
                row.tokens = row.tokens.saturating_add(*tokens);
            }
        }
        rows
    }

    /// This instance's prompts in prefill or recently prefilled, and those that wait, sorted by number.
    pub fn prefills(&self, now: Duration) -> Vec<Prefill> {
        let mut prefills: Vec<Prefill> = self.prefills.iter().map(|own| own.aged(now)).collect();
        prefills.extend(self.waiting.announced(now));
        // Receivers search by number.
        prefills.sort_unstable_by_key(|prefill| prefill.number);
        prefills
    }

    /// Load of each target from all instances, sorted by target.
    pub fn loads(&self, now: Duration) -> Vec<(TargetKey, Load)> {
        self.loads_without(None, now)
    }

    /// Load of each target from all requests but one of this instance, sorted by target.
    pub fn loads_without(&self, number: Option<u64>, now: Duration) -> Vec<(TargetKey, Load)> {
        self.index.loads(number.map(Source::Own), now)
    }
}

/// Milliseconds as in a heartbeat; times beyond 49 days count as that long.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn row(rows: &mut Vec<Row>, target: TargetKey) -> &mut Row {
    let found = rows.binary_search_by_key(&target, |row| row.target);
    let at = found.unwrap_or_else(|at| {
        let row = Row {
            target,
            ..Row::default()
        };
        rows.insert(at, row);
        at
    });
    &mut rows[at]
}
