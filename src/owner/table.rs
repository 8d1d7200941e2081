use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, Entry, Heartbeat, Peer, Phase, Settings};
use crate::id::{Incarnation, InstanceId, Offset, TargetId};

/// Ownership of the targets of a domain as one instance knows it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Table {
    /// Last acquire sequence used before the last pause or isolation.
    pub(super) dropped: u64,
    /// Instances that may own targets, sorted, as of the last command.
    pub(super) eligible: Vec<InstanceId>,
    pub(super) entries: Vec<Entry>,
    /// Number of heartbeats sent to all peers. A count per peer would restart from 1 after the peer was removed.
    pub(super) heartbeats_sent: u64,
    pub(super) incarnation: Incarnation,
    /// Time of the last tick.
    pub(super) last_tick: Duration,
    pub(super) leaving: bool,
    pub(super) me: InstanceId,
    pub(super) offset: Offset,
    pub(super) peers: Vec<Peer>,
    /// Start of the current quarantine.
    pub(super) quarantine_start: Duration,
    /// Last acquire sequence used.
    pub(super) sequence: u64,
    pub(super) settings: Settings,
    /// Start of the process.
    pub(super) started_at: Duration,
}

impl Table {
    /// Creates the table of instance `me`, which starts at `now` and owns nothing.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        settings: Settings,
        now: Duration,
    ) -> Self {
        Self {
            dropped: 0,
            eligible: Vec::new(),
            entries: Vec::new(),
            heartbeats_sent: 0,
            incarnation,
            last_tick: now,
            leaving: false,
            me,
            offset: 0,
            peers: Vec::new(),
            quarantine_start: now,
            sequence: 0,
            settings,
            started_at: now,
        }
    }

    /// Builds the next heartbeat to `to` and records its send time.
    pub fn next_heartbeat(&mut self, to: &InstanceId, now: Duration) -> Heartbeat {
        let dropped = self.dropped;
        let settled = self.announces_settled(now);
        let lease = self.settings.lease;
        self.heartbeats_sent += 1;
        let sequence = self.heartbeats_sent;
        let peer = self.peer_mut(to);
        peer.record_sent(sequence, lease, now);
        Heartbeat {
            dropped,
            echo: peer.last_sequence,
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

    /// Processes a heartbeat.
    pub fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        if heartbeat.from == self.me {
            return actions;
        }
        let incarnation = self.incarnation;
        if self
            .peer_mut(&heartbeat.from)
            .receive(heartbeat, incarnation, now)
        {
            actions.extend(self.advance(now));
        }
        actions
    }

    /// Makes this instance ineligible to own targets. It keeps the targets it owns until other instances request them.
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

    /// Sets the offset of the records in force, which is sent in heartbeats.
    pub fn set_offset(&mut self, offset: Offset) {
        self.offset = offset;
    }

    /// Sets the targets of the own domain.
    pub fn set_targets(&mut self, mut targets: Vec<TargetId>, now: Duration) -> Vec<Action> {
        targets.sort_unstable();
        targets.dedup();
        let mut actions = self.advance(now);
        for entry in &mut self.entries {
            entry.listed = targets.binary_search(&entry.target).is_ok();
            if !entry.listed && entry.drop_claim() {
                actions.push(lost(entry));
            }
        }
        for target in targets {
            self.entry_mut(&target).listed = true;
        }
        self.entries
            .retain(|entry| entry.listed || entry.granted.is_some());
        actions
    }

    /// Advances to `now`: detects pauses, drops dead peers and expired ownership, and requests grants. To be called
    /// about every 100 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        self.last_tick = now;
        self.update_attempts(now);
        self.complete_attempts(now, &mut actions);
        self.request_grants(false, now, &mut actions);
        actions
    }

    /// The live peers, sorted, with the age of their last heartbeat.
    pub fn heartbeat_ages(&self, now: Duration) -> Vec<(InstanceId, Duration)> {
        self.live_peers(now)
            .map(|peer| {
                let last = peer.last_heartbeat.unwrap_or(now);
                (peer.id.clone(), now.saturating_sub(last))
            })
            .collect()
    }

    /// The peers with a heartbeat within the lease, sorted.
    pub fn live(&self, now: Duration) -> Vec<InstanceId> {
        self.live_peers(now).map(|peer| peer.id.clone()).collect()
    }

    /// Whether this instance may send work to `target` at `now`. To be checked immediately before each write.
    pub fn may_dispatch(&self, target: &TargetId, now: Duration) -> bool {
        let Some(entry) = self.entry(target) else {
            return false;
        };
        entry.phase == Phase::Owned && !self.is_paused(now) && self.has_recent_echoes(now)
    }

    /// The instance to which requests for `target` are forwarded: this one if it owns the target, else the live
    /// instance to which it granted the target, else the candidate.
    pub fn owner(&self, target: &TargetId, now: Duration) -> Option<InstanceId> {
        let entry = self.entry(target)?;
        if entry.phase == Phase::Owned {
            return Some(self.me.clone());
        }
        match &entry.granted {
            Some(granted) if self.is_holder_live(granted, now) => Some(granted.to.clone()),
            Some(_) | None => entry.candidate.clone(),
        }
    }

    /// The live peer whose record offset is highest, if it is above `offset`.
    pub fn peer_ahead(&self, offset: Offset, now: Duration) -> Option<InstanceId> {
        self.live_peers(now)
            .filter(|peer| peer.offset > offset)
            .max_by_key(|peer| peer.offset)
            .map(|peer| peer.id.clone())
    }

    /// Whether the quarantine after the start, a pause or an isolation is over.
    pub fn settled(&self, now: Duration) -> bool {
        !self.settings.guards.quarantine
            || now.saturating_sub(self.quarantine_start) >= self.settings.lease
    }
}

/// The instance of `instances` with the highest rendezvous hash for `target`.
pub fn candidate(target: &TargetId, instances: &[InstanceId]) -> Option<InstanceId> {
    let seed = xxh3_64_with_seed(target.as_bytes(), 0);
    instances
        .iter()
        .max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), seed))
        .cloned()
}

pub(super) fn find_peer<'a>(peers: &'a [Peer], id: &InstanceId) -> Option<&'a Peer> {
    let index = peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
    Some(&peers[index])
}

pub(super) fn lost(entry: &Entry) -> Action {
    Action::Lost {
        target: entry.target.clone(),
    }
}
