use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::entry::Given;
use super::{Acquire, Action, Ask, Beat, Entry, Grant, Holding, Peer, Phase, Release, Settings};
use crate::id::{Incarnation, InstanceId, Offset, TargetId};

/// Leases of silence after which a peer is forgotten. Until then its incarnations and sequences are kept, so that its
/// late heartbeats are recognized.
const FORGET_LEASES: u32 = 20;

/// Ownership of targets as one instance sees it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Table {
    /// Start of the current quarantine.
    born: Duration,
    entries: Vec<Entry>,
    incarnation: Incarnation,
    leaving: bool,
    me: InstanceId,
    offset: Offset,
    peers: Vec<Peer>,
    /// Last acquire sequence that was used.
    sequence: u64,
    settings: Settings,
    /// Time of the last tick.
    ticked: Duration,
    /// Instances that may be candidates, sorted, as of the last command.
    view: Vec<InstanceId>,
}

impl Table {
    /// Makes the table of instance `me`, which starts at `now` and owns nothing.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        settings: Settings,
        now: Duration,
    ) -> Self {
        Self {
            born: now,
            entries: Vec::new(),
            incarnation,
            leaving: false,
            me,
            offset: 0,
            peers: Vec::new(),
            sequence: 0,
            settings,
            ticked: now,
            view: Vec::new(),
        }
    }

    /// Answers a peer's request for grants. The caller stops dispatching to targets in `Lost` actions before it sends
    /// the answer. `in_flight` gives the requests that this instance has in flight at a target.
    pub fn acquire(
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
            targets.push(Holding {
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

    /// Builds the next heartbeat to `to` and records its send time.
    pub fn beat(&mut self, to: &InstanceId, now: Duration) -> Beat {
        let settled = self.announced(now);
        let lease = self.settings.lease;
        let peer = self.peer_mut(to);
        let sequence = peer.send(lease, now);
        Beat {
            echo: peer.received,
            echo_incarnation: peer.incarnation,
            from: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            offset: self.offset,
            sequence,
            settled,
            time: 0,
        }
    }

    /// Takes in a peer's answer to a request for grants.
    pub fn grant(&mut self, message: &Grant, now: Duration) -> Vec<Action> {
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

    /// Takes in a heartbeat.
    pub fn hear(&mut self, beat: &Beat, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        if beat.from == self.me {
            return actions;
        }
        let incarnation = self.incarnation;
        if self.peer_mut(&beat.from).hear(beat, incarnation, now) {
            actions.extend(self.advance(now));
        }
        actions
    }

    /// Makes this instance no candidate any more. It keeps what it owns until other instances ask for it.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.leaving = true;
        let actions = self.advance(now);
        for entry in &mut self.entries {
            if entry.phase == Phase::Acquiring {
                entry.drop_claim();
            }
        }
        actions
    }

    /// Sets the offset of the records in force, which heartbeats carry.
    pub fn set_offset(&mut self, offset: Offset) {
        self.offset = offset;
    }

    /// Sets the targets of the own domain.
    pub fn set_targets(&mut self, mut targets: Vec<TargetId>, now: Duration) -> Vec<Action> {
        targets.sort_unstable();
        targets.dedup();
        let mut actions = self.advance(now);
        for entry in &mut self.entries {
            entry.wanted = targets.binary_search(&entry.target).is_ok();
            if !entry.wanted && entry.drop_claim() {
                actions.push(lost(entry));
            }
        }
        for target in targets {
            self.entry_mut(&target).wanted = true;
        }
        self.entries
            .retain(|entry| entry.wanted || entry.given.is_some());
        actions
    }

    /// Lets time pass: detects pauses, drops dead peers and expired ownership, and asks for grants. To be called about
    /// every 100 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        self.ticked = now;
        self.start(now);
        self.complete(now, &mut actions);
        self.ask(false, now, &mut actions);
        actions
    }

    /// The peers heard within the lease, sorted.
    pub fn live(&self, now: Duration) -> Vec<InstanceId> {
        self.live_peers(now).map(|peer| peer.id.clone()).collect()
    }

    /// Whether this instance may send work to `target` at `now`. To be checked immediately before each write.
    pub fn may_dispatch(&self, target: &TargetId, now: Duration) -> bool {
        let Some(entry) = self.entry(target) else {
            return false;
        };
        entry.phase == Phase::Owned && !self.paused(now) && self.echoed(now)
    }

    /// Where to forward requests for `target`: this instance if it owns it, else the live instance that was granted it,
    /// else the candidate in the own view.
    pub fn owner(&self, target: &TargetId, now: Duration) -> Option<InstanceId> {
        let entry = self.entry(target)?;
        if entry.phase == Phase::Owned {
            return Some(self.me.clone());
        }
        match &entry.given {
            Some(given) if self.holds(given, now) => Some(given.to.clone()),
            Some(_) | None => entry.candidate.clone(),
        }
    }

    /// The live peer with the highest record offset above `offset`.
    pub fn peer_ahead(&self, offset: Offset, now: Duration) -> Option<InstanceId> {
        self.live_peers(now)
            .filter(|peer| peer.offset > offset)
            .max_by_key(|peer| peer.offset)
            .map(|peer| peer.id.clone())
    }

    /// Whether the quarantine after a start or a pause is over.
    pub fn settled(&self, now: Duration) -> bool {
        !self.settings.guards.quarantine || now.saturating_sub(self.born) >= self.settings.lease
    }

    /// Applies everything that follows from the passing of time and from the current view.
    fn advance(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.resume(now, &mut actions);
        self.forget(now);
        if !self.echoed(now) {
            self.drop_claims(&mut actions);
        }
        self.drop_unwitnessed(now, &mut actions);
        self.refresh(now);
        actions
    }

    /// Whether heartbeats say that this instance is settled. They do so one suspicion window before the quarantine is
    /// over, so that an owner that this instance cannot hear learns of it in time.
    fn announced(&self, now: Duration) -> bool {
        let early = self.settings.suspicion;
        !self.settings.guards.quarantine
            || now.saturating_sub(self.born) + early >= self.settings.lease
    }

    /// Sends requests for missing grants; `force` ignores the time of the last request.
    fn ask(&mut self, force: bool, now: Duration, actions: &mut Vec<Action>) {
        let peers: Vec<InstanceId> = self.live(now);
        let mut messages: Vec<Vec<Ask>> = vec![Vec::new(); peers.len()];
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
                asks.push(Ask {
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
    fn complete(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
    fn counts(&self, message: &Grant, now: Duration) -> bool {
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

    /// Ends all attempts and ownerships.
    fn drop_claims(&mut self, actions: &mut Vec<Action>) {
        for entry in &mut self.entries {
            if entry.drop_claim() {
                actions.push(lost(entry));
            }
        }
    }

    /// Ends ownerships that a live settled peer has not granted.
    fn drop_unwitnessed(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
    fn echoed(&self, now: Duration) -> bool {
        if !self.settings.guards.echo {
            return true;
        }
        let limit = self.settings.lease.saturating_sub(self.settings.margin);
        self.peers
            .iter()
            .filter(|peer| peer.settled && peer.heard_within(self.settings.suspicion, now))
            .all(|peer| peer.echoed.is_some_and(|at| now.saturating_sub(at) < limit))
    }

    fn entry(&self, target: &TargetId) -> Option<&Entry> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.target.cmp(target))
            .ok()?;
        Some(&self.entries[index])
    }

    fn entry_mut(&mut self, target: &TargetId) -> &mut Entry {
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
    /// such peers.
    fn forget(&mut self, now: Duration) {
        let horizon = self.settings.lease * FORGET_LEASES;
        self.peers.retain(|peer| peer.active(horizon, now));
        let lease = self.settings.lease;
        let check = self.settings.guards.incarnation;
        let peers = &self.peers;
        let alive = |id: &InstanceId, incarnation: Incarnation| {
            find(peers, id).is_some_and(|peer| {
                peer.heard_within(lease, now) && (!check || peer.incarnation == incarnation)
            })
        };
        for entry in &mut self.entries {
            entry
                .grants
                .retain(|(release, _)| alive(&release.from, release.incarnation));
            entry
                .given
                .take_if(|given| !alive(&given.to, given.incarnation));
        }
        self.entries
            .retain(|entry| entry.wanted || entry.given.is_some());
    }

    /// Records a grant and stops the own claim; returns whether the target was owned.
    fn give(&mut self, message: &Acquire, ask: &Ask, actions: &mut Vec<Action>) -> bool {
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
    fn grants(&self, message: &Acquire, ask: &Ask, now: Duration) -> bool {
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
            return ask.owned || (asker && self.settled(now));
        };
        let may = match ask.owned {
            true => asker || entry.phase == Phase::Idle,
            false => asker && self.settled(now),
        };
        may && self.released(entry, message, ask)
    }

    fn holds(&self, given: &Given, now: Duration) -> bool {
        self.peer(&given.to).is_some_and(|peer| {
            peer.incarnation == given.incarnation && peer.heard_within(self.settings.lease, now)
        })
    }

    /// In quarantine, accepts owners that have not been heard yet: they need this grant before the end of the
    /// quarantine, and this instance owns nothing that their appearance could stop.
    fn introduce(&mut self, message: &Acquire, now: Duration) {
        let registers = message.targets.iter().any(|ask| ask.owned);
        if !registers || self.settled(now) || message.from == self.me {
            return;
        }
        self.peer_mut(&message.from)
            .introduce(message.incarnation, now);
        self.refresh(now);
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let lease = self.settings.lease;
        self.peers
            .iter()
            .filter(move |peer| peer.heard_within(lease, now))
    }

    fn paused(&self, now: Duration) -> bool {
        self.settings.guards.pause && now.saturating_sub(self.ticked) > self.settings.pause
    }

    fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        find(&self.peers, id)
    }

    fn peer_mut(&mut self, id: &InstanceId) -> &mut Peer {
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
    fn refresh(&mut self, now: Duration) {
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

    /// Whether the last holder of a grant has released it, so that another instance may be granted the target.
    fn released(&self, entry: &Entry, message: &Acquire, ask: &Ask) -> bool {
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

    /// After a pause: drops all claims and starts a new quarantine. Silence during the pause says nothing about peers,
    /// so those that were live get a new lease; the records of grants to them stay.
    fn resume(&mut self, now: Duration, actions: &mut Vec<Action>) {
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

    /// Starts and ends attempts according to the candidates.
    fn start(&mut self, now: Duration) {
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
    fn take(&mut self, message: &Grant, holding: &Holding) -> bool {
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

/// The instance of `view` with the highest rendezvous hash for `target`.
pub fn candidate(target: &TargetId, view: &[InstanceId]) -> Option<InstanceId> {
    let seed = xxh3_64_with_seed(target.as_bytes(), 0);
    view.iter()
        .max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), seed))
        .cloned()
}

fn find<'a>(peers: &'a [Peer], id: &InstanceId) -> Option<&'a Peer> {
    let index = peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
    Some(&peers[index])
}

fn lost(entry: &Entry) -> Action {
    Action::Lost {
        target: entry.target.clone(),
    }
}
