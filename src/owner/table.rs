use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, Entry, Heartbeat, Peer, Phase, Settings};
use crate::id::{Incarnation, InstanceId, Offset, TargetId};

/// Ownership of targets as one instance sees it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Table {
    /// Heartbeats sent. One count for all peers, so that it never starts anew for a peer that was forgotten meanwhile.
    pub(super) beats: u64,
    /// Start of the current quarantine.
    pub(super) born: Duration,
    /// Last acquire sequence before the last pause or isolation.
    pub(super) dropped: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) incarnation: Incarnation,
    pub(super) leaving: bool,
    pub(super) me: InstanceId,
    pub(super) offset: Offset,
    pub(super) peers: Vec<Peer>,
    /// Last acquire sequence that was used.
    pub(super) sequence: u64,
    pub(super) settings: Settings,
    /// Start of the process.
    pub(super) started: Duration,
    /// Time of the last tick.
    pub(super) ticked: Duration,
    /// Instances that may be candidates, sorted, as of the last command.
    pub(super) view: Vec<InstanceId>,
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
            beats: 0,
            born: now,
            dropped: 0,
            entries: Vec::new(),
            incarnation,
            leaving: false,
            me,
            offset: 0,
            peers: Vec::new(),
            sequence: 0,
            settings,
            started: now,
            ticked: now,
            view: Vec::new(),
        }
    }

    /// Builds the next heartbeat to `to` and records its send time.
    pub fn next_heartbeat(&mut self, to: &InstanceId, now: Duration) -> Heartbeat {
        let dropped = self.dropped;
        let settled = self.announced(now);
        let lease = self.settings.lease;
        self.beats += 1;
        let sequence = self.beats;
        let peer = self.peer_mut(to);
        peer.send(sequence, lease, now);
        Heartbeat {
            dropped,
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

    /// Takes in a heartbeat.
    pub fn receive_heartbeat(&mut self, beat: &Heartbeat, now: Duration) -> Vec<Action> {
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

    /// The peers heard within the lease, sorted, with the age of their last heartbeat.
    pub fn heartbeat_ages(&self, now: Duration) -> Vec<(InstanceId, Duration)> {
        self.live_peers(now)
            .map(|peer| {
                let heard = peer.heard.unwrap_or(now);
                (peer.id.clone(), now.saturating_sub(heard))
            })
            .collect()
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

    /// Whether the quarantine after a start, a pause or an isolation is over.
    pub fn settled(&self, now: Duration) -> bool {
        !self.settings.guards.quarantine || now.saturating_sub(self.born) >= self.settings.lease
    }
}

/// The instance of `view` with the highest rendezvous hash for `target`.
pub fn candidate(target: &TargetId, view: &[InstanceId]) -> Option<InstanceId> {
    let seed = xxh3_64_with_seed(target.as_bytes(), 0);
    view.iter()
        .max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), seed))
        .cloned()
}

pub(super) fn find<'a>(peers: &'a [Peer], id: &InstanceId) -> Option<&'a Peer> {
    let index = peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
    Some(&peers[index])
}

pub(super) fn lost(entry: &Entry) -> Action {
    Action::Lost {
        target: entry.target.clone(),
    }
}
