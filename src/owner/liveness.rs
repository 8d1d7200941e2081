use std::time::Duration;

use super::table::{candidate, find, lost};
use super::Table;
use super::{Action, Entry, Peer, Phase};
use crate::id::{Incarnation, InstanceId, TargetId};

/// Leases of silence after which a peer is forgotten. Until then its incarnations and sequences are kept, so that its
/// late heartbeats are recognized.
const FORGET_LEASES: u32 = 20;

impl Table {
    /// Applies everything that follows from the passing of time and from the current view.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.resume(now, &mut actions);
        self.forget(now);
        self.isolate(now, &mut actions);
        self.drop_unwitnessed(now, &mut actions);
        self.refresh(now);
        actions
    }

    /// Whether heartbeats say that this instance is settled. They do so one suspicion window before the quarantine is
    /// over, so that an owner that this instance cannot hear learns of it in time.
    pub(super) fn announced(&self, now: Duration) -> bool {
        let early = self.settings.suspicion;
        !self.settings.guards.quarantine
            || now.saturating_sub(self.born) + early >= self.settings.lease
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

    /// Ends ownerships that a live settled peer has not granted.
    pub(super) fn drop_unwitnessed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.settings.guards.grant {
            return;
        }
        let required: Vec<InstanceId> = self
            .live_peers(now)
            .filter(|peer| peer.settled)
            .map(|peer| peer.id.clone())
            .collect();
        for entry in &mut self.entries {
            if entry.phase != Phase::Owned || required.iter().all(|peer| entry.granted(peer)) {
                continue;
            }
            entry.drop_claim();
            actions.push(lost(entry));
        }
    }

    /// Whether every settled peer heard lately has echoed a recent heartbeat.
    pub(super) fn echoed(&self, now: Duration) -> bool {
        if !self.settings.guards.echo {
            return true;
        }
        let limit = self.settings.lease.saturating_sub(self.settings.margin);
        self.peers
            .iter()
            .filter(|peer| peer.settled && peer.heard_within(self.settings.suspicion, now))
            .all(|peer| peer.echoed.is_some_and(|at| now.saturating_sub(at) < limit))
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
                entry.candidate = candidate(target, &self.view);
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }

    /// Drops peers that are silent for long, grants of peers that are dead or have restarted, and records of grants to
    /// such peers or to peers that have dropped their claims.
    pub(super) fn forget(&mut self, now: Duration) {
        let horizon = self.settings.lease * FORGET_LEASES;
        self.peers.retain(|peer| peer.active(horizon, now));
        let (check, lease) = (self.settings.guards.incarnation, self.settings.lease);
        let peers = &self.peers;
        let alive = |id: &InstanceId, incarnation: Incarnation| {
            find(peers, id).filter(|peer| {
                peer.heard_within(lease, now) && (!check || peer.incarnation == incarnation)
            })
        };
        for entry in &mut self.entries {
            entry
                .grants
                .retain(|(release, _)| alive(&release.from, release.incarnation).is_some());
            entry.given.take_if(|given| {
                alive(&given.to, given.incarnation)
                    .is_none_or(|peer| given.sequence <= peer.dropped)
            });
        }
        self.entries
            .retain(|entry| entry.wanted || entry.given.is_some());
    }

    /// While a settled peer does not hear this instance: drops all claims and starts a new quarantine, so that
    /// heartbeats tell the others that they may take over.
    pub(super) fn isolate(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.echoed(now) {
            return;
        }
        self.drop_claims(actions);
        if self.announced(now) {
            self.born = now;
        }
    }

    pub(super) fn live_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let lease = self.settings.lease;
        self.peers
            .iter()
            .filter(move |peer| peer.heard_within(lease, now))
    }

    pub(super) fn paused(&self, now: Duration) -> bool {
        self.settings.guards.pause && now.saturating_sub(self.ticked) > self.settings.pause
    }

    pub(super) fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        find(&self.peers, id)
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

    /// Computes the candidates anew if the instances that may be candidates have changed.
    pub(super) fn refresh(&mut self, now: Duration) {
        let mut view: Vec<InstanceId> = self
            .live_peers(now)
            .filter(|peer| peer.settled && !peer.leaving)
            .map(|peer| peer.id.clone())
            .collect();
        if self.announced(now) && !self.leaving {
            let index = view.partition_point(|id| *id < self.me);
            view.insert(index, self.me.clone());
        }
        if view == self.view {
            return;
        }
        for entry in &mut self.entries {
            entry.candidate = candidate(&entry.target, &view);
        }
        self.view = view;
    }

    /// Whether the process has run for a lease, so that its records of grants are complete.
    pub(super) fn remembers(&self, now: Duration) -> bool {
        !self.settings.guards.quarantine || now.saturating_sub(self.started) >= self.settings.lease
    }

    /// After a pause: drops all claims and starts a new quarantine. Silence during the pause says nothing about peers,
    /// so those that were live get a new lease; the records of grants to them stay.
    pub(super) fn resume(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.paused(now) {
            return;
        }
        let ticked = self.ticked;
        let lease = self.settings.lease;
        for peer in &mut self.peers {
            if peer.heard_within(lease, ticked) {
                peer.heard = Some(now);
            }
        }
        self.drop_claims(actions);
        self.born = now;
        self.ticked = now;
    }
}
