use std::time::Duration;

use super::entry::Given;
use super::table::{candidate, lost};
use super::Table;
use super::{Acquire, Action, Entry, Grant, Phase, Release, TargetGrant, TargetRequest};
use crate::id::{InstanceId, TargetId};

impl Table {
    /// Answers a peer's request for grants. The caller stops dispatching to targets in `Lost` actions before it sends
    /// the answer. `in_flight` gives the requests that this instance has in flight at a target.
    pub fn answer_acquire(
        &mut self,
        message: &Acquire,
        in_flight: impl Fn(&TargetId) -> u32,
        now: Duration,
    ) -> (Grant, Vec<Action>) {
        let mut actions = self.advance(now);
        self.introduce(message, now);
        let mut targets = Vec::new();
        for ask in &message.targets {
            if !self.grants(message, ask, now) {
                continue;
            }
            let owned = self.give(message, ask, &mut actions);
            targets.push(TargetGrant {
                in_flight: in_flight(&ask.target),
                owned,
                sequence: ask.sequence,
                target: ask.target.clone(),
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

    /// Takes in a peer's answer to a request for grants.
    pub fn receive_grant(&mut self, message: &Grant, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        if !self.counts(message, now) {
            return actions;
        }
        let mut handed = false;
        for holding in &message.targets {
            handed |= self.take(message, holding) && holding.owned;
        }
        self.complete(now, &mut actions);
        if handed {
            self.ask(true, now, &mut actions);
        }
        actions
    }

    /// Sends requests for missing grants; `force` ignores the time of the last request.
    pub(super) fn ask(&mut self, force: bool, now: Duration, actions: &mut Vec<Action>) {
        let peers: Vec<InstanceId> = self.live(now);
        let mut messages: Vec<Vec<TargetRequest>> = vec![Vec::new(); peers.len()];
        let resend = self.settings.resend;
        for entry in &mut self.entries {
            let due = entry.sent.is_none_or(|at| now.saturating_sub(at) >= resend);
            if entry.phase == Phase::Idle || !(force || due) {
                continue;
            }
            for (peer, asks) in peers.iter().zip(&mut messages) {
                if entry.granted(peer) {
                    continue;
                }
                entry.sent = Some(now);
                asks.push(TargetRequest {
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

    /// Takes ownership where all grants are present.
    pub(super) fn complete(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let required: Vec<InstanceId> = match self.settings.guards.grant {
            true => self.live(now),
            false => Vec::new(),
        };
        for entry in &mut self.entries {
            if entry.phase != Phase::Acquiring || !required.iter().all(|peer| entry.granted(peer)) {
                continue;
            }
            entry.phase = Phase::Owned;
            entry.given = None;
            actions.push(Action::Gained {
                in_flight: entry
                    .grants
                    .iter()
                    .map(|(_, holding)| holding.in_flight)
                    .sum(),
                planned: entry.grants.iter().any(|(_, holding)| holding.owned),
                target: entry.target.clone(),
            });
        }
    }

    /// Whether a grant is for this incarnation and from the incarnation of the peer that is live.
    pub(super) fn counts(&self, message: &Grant, now: Duration) -> bool {
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

    /// Records a grant and stops the own claim; returns whether the target was owned.
    pub(super) fn give(
        &mut self,
        message: &Acquire,
        ask: &TargetRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let stop = self.settings.guards.stop;
        self.sequence += 1;
        let entry = self.entry_mut(&ask.target);
        let mut owned = entry.phase == Phase::Owned;
        if stop && entry.drop_claim() {
            actions.push(lost(entry));
        }
        if let Some(given) = &entry.given {
            let same = given.to == message.from && given.incarnation == message.incarnation;
            owned |= same && given.sequence == ask.sequence && given.owned;
        }
        entry.given = Some(Given {
            incarnation: message.incarnation,
            owned,
            sequence: ask.sequence,
            to: message.from.clone(),
        });
        owned
    }

    /// Whether a request for a grant is to be granted.
    pub(super) fn grants(&self, message: &Acquire, ask: &TargetRequest, now: Duration) -> bool {
        let known = self.peer(&message.from).is_some_and(|peer| {
            peer.incarnation == message.incarnation && peer.heard_within(self.settings.lease, now)
        });
        if !known {
            return false;
        }
        let candidate = match self.entry(&ask.target) {
            Some(entry) => entry.candidate.clone(),
            None => candidate(&ask.target, &self.view),
        };
        let asker = candidate.as_ref() == Some(&message.from);
        let Some(entry) = self.entry(&ask.target) else {
            return ask.owned || (asker && self.remembers(now));
        };
        let may = match ask.owned {
            true => asker || entry.phase == Phase::Idle,
            false => asker && self.remembers(now),
        };
        may && self.released(entry, message, ask)
    }

    pub(super) fn holds(&self, given: &Given, now: Duration) -> bool {
        self.peer(&given.to).is_some_and(|peer| {
            peer.incarnation == given.incarnation && peer.heard_within(self.settings.lease, now)
        })
    }

    /// In quarantine, accepts owners that have not been heard yet: they need this grant before the end of the
    /// quarantine, and this instance owns nothing that their appearance could stop.
    pub(super) fn introduce(&mut self, message: &Acquire, now: Duration) {
        let registers = message.targets.iter().any(|ask| ask.owned);
        if !registers || self.remembers(now) || message.from == self.me {
            return;
        }
        self.peer_mut(&message.from)
            .introduce(message.incarnation, now);
        self.refresh(now);
    }

    /// Whether the last holder of a grant has released it, so that another instance may be granted the target.
    pub(super) fn released(&self, entry: &Entry, message: &Acquire, ask: &TargetRequest) -> bool {
        if !self.settings.guards.witness {
            return true;
        }
        let Some(given) = &entry.given else {
            return true;
        };
        if given.to == message.from {
            return true;
        }
        ask.released.iter().any(|release| {
            release.from == given.to
                && release.incarnation == given.incarnation
                && release.sequence > given.sequence
        })
    }

    /// Starts and ends attempts according to the candidates.
    pub(super) fn start(&mut self, now: Duration) {
        let ready = self.settled(now) && !self.leaving && self.echoed(now);
        let next = self.sequence + 1;
        for entry in &mut self.entries {
            let mine = ready && entry.wanted && entry.candidate.as_ref() == Some(&self.me);
            match entry.phase {
                Phase::Acquiring if !mine => {
                    entry.drop_claim();
                }
                Phase::Idle if mine => {
                    entry.start(next);
                    self.sequence = next;
                }
                Phase::Acquiring | Phase::Idle | Phase::Owned => {}
            }
        }
    }

    /// Adds a grant to the attempt that it belongs to; returns whether it was new.
    pub(super) fn take(&mut self, message: &Grant, holding: &TargetGrant) -> bool {
        let check = self.settings.guards.sequence;
        if self.entry(&holding.target).is_none() {
            return false;
        }
        let entry = self.entry_mut(&holding.target);
        // The grant proves that its sender has stopped. Without this, two instances that granted the target to each
        // other would both wait for the other's release when a third one asks.
        entry.given.take_if(|given| {
            given.to == message.from
                && given.incarnation == message.incarnation
                && message.sequence > given.sequence
        });
        if entry.phase == Phase::Idle || (check && holding.sequence != entry.sequence) {
            return false;
        }
        let new = !entry.granted(&message.from);
        let release = Release {
            from: message.from.clone(),
            incarnation: message.incarnation,
            sequence: message.sequence,
        };
        entry.insert(release, holding.clone());
        new
    }
}
