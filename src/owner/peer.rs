use std::time::Duration;

use super::Heartbeat;
use crate::id::{Incarnation, InstanceId, Offset};

/// Number of earlier incarnations of a peer that are kept, so that their late heartbeats are dropped.
const MAX_RETIRED: usize = 8;

/// State of one other instance of the domain in a table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Peer {
    /// Acquire sequence up to which the peer has dropped all claims.
    pub(super) dropped: u64,
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
    /// Send time of the most recent own heartbeat that the peer has echoed.
    pub(super) last_echoed: Option<Duration>,
    /// Time at which the last heartbeat was received.
    pub(super) last_heartbeat: Option<Duration>,
    /// Sequence of the last heartbeat received.
    pub(super) last_sequence: u64,
    pub(super) leaving: bool,
    pub(super) offset: Offset,
    /// Earlier incarnations.
    retired: Vec<Incarnation>,
    /// Sequence and send time of the heartbeats sent to the peer within the last lease.
    sent: Vec<(u64, Duration)>,
    pub(super) settled: bool,
}

impl Peer {
    pub(super) fn new(id: InstanceId) -> Self {
        Self {
            dropped: 0,
            id,
            incarnation: 0,
            last_echoed: None,
            last_heartbeat: None,
            last_sequence: 0,
            leaving: false,
            offset: 0,
            retired: Vec::new(),
            sent: Vec::new(),
            settled: false,
        }
    }

    /// Whether a heartbeat was sent or received within `window`.
    pub(super) fn active_within(&self, window: Duration, now: Duration) -> bool {
        let sent = self.sent.last().map(|(_, at)| *at);
        self.last_heartbeat
            .max(sent)
            .is_some_and(|at| now.saturating_sub(at) < window)
    }

    /// Processes a heartbeat to incarnation `me`; returns whether it was new.
    pub(super) fn receive(
        &mut self,
        heartbeat: &Heartbeat,
        me: Incarnation,
        now: Duration,
    ) -> bool {
        if self.retired.contains(&heartbeat.incarnation) {
            return false;
        }
        if self.incarnation != heartbeat.incarnation {
            self.start_incarnation(heartbeat.incarnation);
        }
        if heartbeat.sequence <= self.last_sequence {
            return false;
        }
        self.dropped = heartbeat.dropped;
        self.last_heartbeat = Some(now);
        self.leaving = heartbeat.leaving;
        self.offset = heartbeat.offset;
        self.last_sequence = heartbeat.sequence;
        self.settled = heartbeat.settled;
        if heartbeat.echo_incarnation == me {
            self.record_echo(heartbeat.echo);
        }
        true
    }

    /// Treats the request of an owner without a heartbeat so far as its first heartbeat.
    pub(super) fn accept_owner(&mut self, incarnation: Incarnation, now: Duration) {
        if self.last_heartbeat.is_some() {
            return;
        }
        self.last_heartbeat = Some(now);
        self.incarnation = incarnation;
        self.settled = true;
    }

    /// Whether the last heartbeat is younger than `window`.
    pub(super) fn heard_within(&self, window: Duration, now: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.saturating_sub(at) < window)
    }

    /// Records a heartbeat that is sent to the peer.
    pub(super) fn record_sent(&mut self, sequence: u64, lease: Duration, now: Duration) {
        self.sent.retain(|(_, at)| now.saturating_sub(*at) < lease);
        self.sent.push((sequence, now));
    }

    fn record_echo(&mut self, sequence: u64) {
        let Ok(index) = self.sent.binary_search_by_key(&sequence, |(sent, _)| *sent) else {
            return;
        };
        self.last_echoed = self.last_echoed.max(Some(self.sent[index].1));
    }

    fn start_incarnation(&mut self, incarnation: Incarnation) {
        if self.last_heartbeat.is_some() {
            self.retired.push(self.incarnation);
        }
        if self.retired.len() > MAX_RETIRED {
            self.retired.remove(0);
        }
        self.dropped = 0;
        self.last_echoed = None;
        self.incarnation = incarnation;
        self.last_sequence = 0;
    }
}
