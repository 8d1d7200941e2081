use std::time::Duration;

use super::Heartbeat;
use crate::id::{Incarnation, InstanceId, Offset};

/// Earlier incarnations of a peer that are remembered, so that their late heartbeats are dropped.
const RETIRED: usize = 8;

/// What a table knows about one other instance of the domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Peer {
    /// Acquire sequence up to which the peer has dropped all claims.
    pub(super) dropped: u64,
    /// Send time of the most recent own heartbeat that the peer has echoed.
    pub(super) echoed: Option<Duration>,
    /// Time at which the last heartbeat was received.
    pub(super) heard: Option<Duration>,
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) leaving: bool,
    pub(super) offset: Offset,
    /// Sequence of the last heartbeat received from the peer.
    pub(super) received: u64,
    retired: Vec<Incarnation>,
    /// Own heartbeats to the peer that are younger than a lease: sequence and send time.
    sent: Vec<(u64, Duration)>,
    pub(super) settled: bool,
}

impl Peer {
    pub(super) fn new(id: InstanceId) -> Self {
        Self {
            dropped: 0,
            echoed: None,
            heard: None,
            id,
            incarnation: 0,
            leaving: false,
            offset: 0,
            received: 0,
            retired: Vec::new(),
            sent: Vec::new(),
            settled: false,
        }
    }

    /// Whether a heartbeat was exchanged within `window`.
    pub(super) fn active(&self, window: Duration, now: Duration) -> bool {
        let sent = self.sent.last().map(|(_, at)| *at);
        self.heard
            .max(sent)
            .is_some_and(|at| now.saturating_sub(at) < window)
    }

    /// Takes in a heartbeat for incarnation `me`; returns whether it was new.
    pub(super) fn hear(&mut self, beat: &Heartbeat, me: Incarnation, now: Duration) -> bool {
        if self.retired.contains(&beat.incarnation) {
            return false;
        }
        if self.incarnation != beat.incarnation {
            self.replace(beat.incarnation);
        }
        if beat.sequence <= self.received {
            return false;
        }
        self.dropped = beat.dropped;
        self.heard = Some(now);
        self.leaving = beat.leaving;
        self.offset = beat.offset;
        self.received = beat.sequence;
        self.settled = beat.settled;
        if beat.echo_incarnation == me {
            self.echo(beat.echo);
        }
        true
    }

    /// Takes a request of an owner that has not been heard yet as its first heartbeat.
    pub(super) fn introduce(&mut self, incarnation: Incarnation, now: Duration) {
        if self.heard.is_some() {
            return;
        }
        self.heard = Some(now);
        self.incarnation = incarnation;
        self.settled = true;
    }

    /// Whether the last heartbeat is younger than `window`.
    pub(super) fn heard_within(&self, window: Duration, now: Duration) -> bool {
        self.heard.is_some_and(|at| now.saturating_sub(at) < window)
    }

    /// Records a heartbeat to the peer.
    pub(super) fn send(&mut self, sequence: u64, lease: Duration, now: Duration) {
        self.sent.retain(|(_, at)| now.saturating_sub(*at) < lease);
        self.sent.push((sequence, now));
    }

    fn echo(&mut self, sequence: u64) {
        let Ok(index) = self.sent.binary_search_by_key(&sequence, |(sent, _)| *sent) else {
            return;
        };
        self.echoed = self.echoed.max(Some(self.sent[index].1));
    }

    fn replace(&mut self, incarnation: Incarnation) {
        if self.heard.is_some() {
            self.retired.push(self.incarnation);
        }
        if self.retired.len() > RETIRED {
            self.retired.remove(0);
        }
        self.dropped = 0;
        self.echoed = None;
        self.incarnation = incarnation;
        self.received = 0;
    }
}
