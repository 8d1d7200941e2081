use std::time::Duration;

use super::table::{candidate, find_peer, lost};
use super::Table;
use super::{Action, Entry, Peer, Phase};
use crate::id::{Incarnation, InstanceId, TargetId};

/// Leases without a heartbeat after which a peer is removed. Until then its incarnations and sequences are kept, so
/// that late heartbeats are recognized as stale.
const PEER_RETENTION_LEASES: u32 = 20;

impl Table {
    /// Applies the effects of the time that has passed: pauses, dead peers, isolation and new candidates.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_pause(now, &mut actions);
        self.forget_dead_peers(now);
        self.check_isolation(now, &mut actions);
        self.drop_ungranted(now, &mut actions);
        self.refresh_candidates(now);
        actions
    }

    /// Whether heartbeats announce this instance as settled. They do so one suspicion window before the quarantine
    /// ends, so that an owner whose heartbeats do not reach this instance stops in time.
    pub(super) fn announces_settled(&self, now: Duration) -> bool {
        let early = self.settings.suspicion;
        !self.settings.guards.quarantine
            || now.saturating_sub(self.quarantine_start) + early >= self.settings.lease
    }

    /// Ends all attempts and ownerships.
    pub(super) fn drop_claims(&mut self, actions: &mut Vec<Action>) {
        self.dropped = self.sequence;
        for entry in &mut self.entries {
            if entry.drop_claim() {
                actions.push(lost(entry));
            }
        }
    }

    /// Gives up targets that a live, settled peer has not granted.
    pub(super) fn drop_ungranted(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.settings.guards.grant {
            return;
        }
        let required: Vec<InstanceId> = self
            .live_peers(now)
            .filter(|peer| peer.settled)
            .map(|peer| peer.id.clone())
            .collect();
        for entry in &mut self.entries {
            if entry.phase != Phase::Owned || required.iter().all(|peer| entry.has_grant_from(peer))
            {
                continue;
            }
            entry.drop_claim();
            actions.push(lost(entry));
        }
    }

    /// Whether all settled peers with a heartbeat within the suspicion window have echoed a recent heartbeat.
    pub(super) fn has_recent_echoes(&self, now: Duration) -> bool {
        if !self.settings.guards.echo {
            return true;
        }
        let limit = self.settings.lease.saturating_sub(self.settings.margin);
        self.peers
            .iter()
            .filter(|peer| peer.settled && peer.heard_within(self.settings.suspicion, now))
            .all(|peer| {
                peer.last_echoed
                    .is_some_and(|at| now.saturating_sub(at) < limit)
            })
    }

    pub(super) fn entry(&self, target: &TargetId) -> Option<&Entry> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.target.cmp(target))
            .ok()?;
        Some(&self.entries[index])
    }

    pub(super) fn entry_mut(&mut self, target: &TargetId) -> &mut Entry {
        let index = match self
            .entries
            .binary_search_by(|entry| entry.target.cmp(target))
        {
            Ok(index) => index,
            Err(index) => {
                let mut entry = Entry::new(target.clone());
                entry.candidate = candidate(target, &self.eligible);
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }

    /// Removes peers without a heartbeat for a long time, grants of peers that are dead or have restarted, and records
    /// of grants to such peers or to peers that have dropped their claims.
    pub(super) fn forget_dead_peers(&mut self, now: Duration) {
        let retention = self.settings.lease * PEER_RETENTION_LEASES;
        self.peers.retain(|peer| peer.active_within(retention, now));
        let (check, lease) = (self.settings.guards.incarnation, self.settings.lease);
        let peers = &self.peers;
        let alive = |id: &InstanceId, incarnation: Incarnation| {
            find_peer(peers, id).filter(|peer| {
                peer.heard_within(lease, now) && (!check || peer.incarnation == incarnation)
            })
        };
        for entry in &mut self.entries {
            entry
                .grants
                .retain(|(release, _)| alive(&release.from, release.incarnation).is_some());
            entry.granted.take_if(|granted| {
                alive(&granted.to, granted.incarnation)
                    .is_none_or(|peer| granted.sequence <= peer.dropped)
            });
        }
        self.entries
            .retain(|entry| entry.listed || entry.granted.is_some());
    }

    /// While a settled peer does not receive the heartbeats of this instance: drops all claims and starts a new
    /// quarantine, which heartbeats announce, so that other instances take over.
    pub(super) fn check_isolation(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.has_recent_echoes(now) {
            return;
        }
        self.drop_claims(actions);
        if self.announces_settled(now) {
            self.quarantine_start = now;
        }
    }

    pub(super) fn live_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let lease = self.settings.lease;
        self.peers
            .iter()
            .filter(move |peer| peer.heard_within(lease, now))
    }

    pub(super) fn is_paused(&self, now: Duration) -> bool {
        self.settings.guards.pause && now.saturating_sub(self.last_tick) > self.settings.pause
    }

    pub(super) fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        find_peer(&self.peers, id)
    }

    pub(super) fn peer_mut(&mut self, id: &InstanceId) -> &mut Peer {
        let index = match self.peers.binary_search_by(|peer| peer.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, Peer::new(id.clone()));
                index
            }
        };
        &mut self.peers[index]
    }

    /// Recomputes the candidates if the eligible instances have changed.
    pub(super) fn refresh_candidates(&mut self, now: Duration) {
        let mut eligible: Vec<InstanceId> = self
            .live_peers(now)
            .filter(|peer| peer.settled && !peer.leaving)
            .map(|peer| peer.id.clone())
            .collect();
        if self.announces_settled(now) && !self.leaving {
            let index = eligible.partition_point(|id| *id < self.me);
            eligible.insert(index, self.me.clone());
        }
        if eligible == self.eligible {
            return;
        }
        for entry in &mut self.entries {
            entry.candidate = candidate(&entry.target, &eligible);
        }
        self.eligible = eligible;
    }

    /// Whether the process has run for a lease, so that it knows of all grants in force.
    pub(super) fn has_complete_records(&self, now: Duration) -> bool {
        !self.settings.guards.quarantine
            || now.saturating_sub(self.started_at) >= self.settings.lease
    }

    /// After a pause, drops all claims and starts a new quarantine. Missing heartbeats during the pause do not mean
    /// that peers are dead, so peers that were live get a new lease, and the records of grants to them are kept.
    pub(super) fn check_pause(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.is_paused(now) {
            return;
        }
        let last_tick = self.last_tick;
        let lease = self.settings.lease;
        for peer in &mut self.peers {
            if peer.heard_within(lease, last_tick) {
                peer.last_heartbeat = Some(now);
            }
        }
        self.drop_claims(actions);
        self.quarantine_start = now;
        self.last_tick = now;
    }
}
