use std::time::Duration;

use super::entry::Granted;
use super::table::{candidate, lost};
use super::Table;
use super::{Acquire, Action, Entry, Grant, Phase, Release, Request, TargetGrant};
use crate::id::{InstanceId, TargetId};

impl Table {
    /// Answers a peer's request for grants. The caller must stop dispatching to the targets of `Lost` actions before it
    /// sends the answer. `in_flight` returns the number of requests that this instance has in flight at a target.
    pub fn answer_acquire(
        &mut self,
        message: &Acquire,
        in_flight: impl Fn(&TargetId) -> u32,
        now: Duration,
    ) -> (Grant, Vec<Action>) {
        let mut actions = self.advance(now);
        self.accept_owner(message, now);
        let mut targets = Vec::new();
        for request in &message.targets {
            if !self.may_grant(message, request, now) {
                continue;
            }
            let owned = self.record_grant(message, request, &mut actions);
            targets.push(TargetGrant {
                in_flight: in_flight(&request.target),
                owned,
                sequence: request.sequence,
                target: request.target.clone(),
            });
        }
        let grant = Grant {
            from: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            targets,
            to: message.from.clone(),
            to_incarnation: message.incarnation,
        };
        (grant, actions)
    }

    /// Processes a peer's answer to a request for grants.
    pub fn receive_grant(&mut self, message: &Grant, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        if !self.is_current(message, now) {
            return actions;
        }
        let mut handed_over = false;
        for target_grant in &message.targets {
            handed_over |= self.add_grant(message, target_grant) && target_grant.owned;
        }
        self.complete_attempts(now, &mut actions);
        if handed_over {
            self.request_grants(true, now, &mut actions);
        }
        actions
    }

    /// Requests missing grants; with `force` also those that were requested recently.
    pub(super) fn request_grants(&mut self, force: bool, now: Duration, actions: &mut Vec<Action>) {
        let peers: Vec<InstanceId> = self.live(now);
        let mut messages: Vec<Vec<Request>> = vec![Vec::new(); peers.len()];
        let resend = self.settings.resend;
        for entry in &mut self.entries {
            let due = entry
                .requested_at
                .is_none_or(|at| now.saturating_sub(at) >= resend);
            if entry.phase == Phase::Idle || !(force || due) {
                continue;
            }
            for (peer, requests) in peers.iter().zip(&mut messages) {
                if entry.has_grant_from(peer) {
                    continue;
                }
                entry.requested_at = Some(now);
                requests.push(Request {
                    owned: entry.phase == Phase::Owned,
                    released: entry
                        .grants
                        .iter()
                        .map(|(release, _)| release.clone())
                        .collect(),
                    sequence: entry.sequence,
                    target: entry.target.clone(),
                });
            }
        }
        for (to, targets) in peers.into_iter().zip(messages) {
            if targets.is_empty() {
                continue;
            }
            let message = Acquire {
                from: self.me.clone(),
                incarnation: self.incarnation,
                targets,
            };
            actions.push(Action::Acquire { message, to });
        }
    }

    /// Completes the attempts for which all grants have been received: this instance owns these targets.
    pub(super) fn complete_attempts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let required: Vec<InstanceId> = match self.settings.guards.grant {
            true => self.live(now),
            false => Vec::new(),
        };
        for entry in &mut self.entries {
            if entry.phase != Phase::Acquiring
                || !required.iter().all(|peer| entry.has_grant_from(peer))
            {
                continue;
            }
            entry.phase = Phase::Owned;
            entry.granted = None;
            actions.push(Action::Gained {
                in_flight: entry
                    .grants
                    .iter()
                    .map(|(_, target_grant)| target_grant.in_flight)
                    .sum(),
                planned: entry
                    .grants
                    .iter()
                    .any(|(_, target_grant)| target_grant.owned),
                target: entry.target.clone(),
            });
        }
    }

    /// Whether a grant is for this incarnation, and from the live incarnation of the peer.
    pub(super) fn is_current(&self, message: &Grant, now: Duration) -> bool {
        if message.to != self.me {
            return false;
        }
        let Some(peer) = self.peer(&message.from) else {
            return false;
        };
        if !self.settings.guards.incarnation {
            return true;
        }
        message.to_incarnation == self.incarnation
            && message.incarnation == peer.incarnation
            && peer.heard_within(self.settings.lease, now)
    }

    /// Records a grant to a peer and ends the own claim; returns whether this instance owned the target.
    pub(super) fn record_grant(
        &mut self,
        message: &Acquire,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> bool {
        let stop = self.settings.guards.stop;
        self.sequence += 1;
        let entry = self.entry_mut(&request.target);
        let mut owned = entry.phase == Phase::Owned;
        if stop && entry.drop_claim() {
            actions.push(lost(entry));
        }
        if let Some(granted) = &entry.granted {
            let same = granted.to == message.from && granted.incarnation == message.incarnation;
            owned |= same && granted.sequence == request.sequence && granted.owned;
        }
        entry.granted = Some(Granted {
            incarnation: message.incarnation,
            owned,
            sequence: request.sequence,
            to: message.from.clone(),
        });
        owned
    }

    /// Whether this instance may grant the requested target.
    pub(super) fn may_grant(&self, message: &Acquire, request: &Request, now: Duration) -> bool {
        let known = self.peer(&message.from).is_some_and(|peer| {
            peer.incarnation == message.incarnation && peer.heard_within(self.settings.lease, now)
        });
        if !known {
            return false;
        }
        let candidate = match self.entry(&request.target) {
            Some(entry) => entry.candidate.clone(),
            None => candidate(&request.target, &self.eligible),
        };
        let is_candidate = candidate.as_ref() == Some(&message.from);
        let Some(entry) = self.entry(&request.target) else {
            return request.owned || (is_candidate && self.has_complete_records(now));
        };
        let allowed = match request.owned {
            true => is_candidate || entry.phase == Phase::Idle,
            false => is_candidate && self.has_complete_records(now),
        };
        allowed && self.is_released(entry, message, request)
    }

    pub(super) fn is_holder_live(&self, granted: &Granted, now: Duration) -> bool {
        self.peer(&granted.to).is_some_and(|peer| {
            peer.incarnation == granted.incarnation && peer.heard_within(self.settings.lease, now)
        })
    }

    /// In the quarantine after the start, counts an owner that registers here as live even before its first heartbeat.
    /// The owner needs this grant before the quarantine ends, and this instance owns nothing yet that a new peer could
    /// stop.
    pub(super) fn accept_owner(&mut self, message: &Acquire, now: Duration) {
        let has_owner = message.targets.iter().any(|request| request.owned);
        if !has_owner || self.has_complete_records(now) || message.from == self.me {
            return;
        }
        self.peer_mut(&message.from)
            .accept_owner(message.incarnation, now);
        self.refresh_candidates(now);
    }

    /// Whether the last grantee has released the target, so that another instance may get the grant.
    pub(super) fn is_released(&self, entry: &Entry, message: &Acquire, request: &Request) -> bool {
        if !self.settings.guards.witness {
            return true;
        }
        let Some(granted) = &entry.granted else {
            return true;
        };
        if granted.to == message.from {
            return true;
        }
        request.released.iter().any(|release| {
            release.from == granted.to
                && release.incarnation == granted.incarnation
                && release.sequence > granted.sequence
        })
    }

    /// Starts attempts for targets whose candidate is this instance, and ends the others.
    pub(super) fn update_attempts(&mut self, now: Duration) {
        let ready = self.settled(now) && !self.leaving && self.has_recent_echoes(now);
        let next = self.sequence + 1;
        for entry in &mut self.entries {
            let mine = ready && entry.listed && entry.candidate.as_ref() == Some(&self.me);
            match entry.phase {
                Phase::Acquiring if !mine => {
                    entry.drop_claim();
                }
                Phase::Idle if mine => {
                    entry.start_acquiring(next);
                    self.sequence = next;
                }
                Phase::Acquiring | Phase::Idle | Phase::Owned => {}
            }
        }
    }

    /// Adds a grant to its attempt; returns whether it was new.
    pub(super) fn add_grant(&mut self, message: &Grant, target_grant: &TargetGrant) -> bool {
        let check = self.settings.guards.sequence;
        if self.entry(&target_grant.target).is_none() {
            return false;
        }
        let entry = self.entry_mut(&target_grant.target);
        // The grant proves that its sender has stopped, so the own grant to the sender is void. Otherwise two instances
        // that granted the target to each other would both wait for the other's release when a third one requests it.
        entry.granted.take_if(|granted| {
            granted.to == message.from
                && granted.incarnation == message.incarnation
                && message.sequence > granted.sequence
        });
        if entry.phase == Phase::Idle || (check && target_grant.sequence != entry.sequence) {
            return false;
        }
        let new = !entry.has_grant_from(&message.from);
        let release = Release {
            from: message.from.clone(),
            incarnation: message.incarnation,
            sequence: message.sequence,
        };
        entry.add_grant(release, target_grant.clone());
        new
    }
}
