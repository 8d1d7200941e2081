use std::time::Duration;

use crate::id::InstanceId;

/// Age at which another instance's waiting requests are not believed any more: several beats. A request whose instance
/// fell silent must not hold up the others.
const STALE: Duration = Duration::from_millis(400);

/// How urgent a waiting request is; the smallest goes first.
///
/// Those that can still be on time go first, the ones with the least time to spare at the front. Those that are late
/// anyway come after them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Whether the first event is late whatever happens.
    pub late: bool,
    /// Milliseconds until the request has to start.
    pub spare_ms: u32,
}

/// Requests that wait for engines, here and at other instances.
///
/// Two instances that see the same engines free at the same moment would both send, and the newer part would hold up
/// the older one. So the most urgent request of all goes first, and the others wait for news of it.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    next: u64,
    own: Vec<(u64, Urgency)>,
    /// Sorted by instance.
    peers: Vec<(InstanceId, Duration, Urgency)>,
}

impl Queue {
    /// Adds a waiting request; returns its number.
    pub fn enter(&mut self, urgency: Urgency) -> u64 {
        self.next += 1;
        self.own.push((self.next, urgency));
        self.next
    }

    /// Changes the urgency of a waiting request.
    pub fn update(&mut self, number: u64, urgency: Urgency) {
        if let Ok(at) = self
            .own
            .binary_search_by_key(&number, |(number, _)| *number)
        {
            self.own[at].1 = urgency;
        }
    }

    /// Removes a request.
    pub fn leave(&mut self, number: u64) {
        self.own.retain(|(known, _)| *known != number);
    }

    /// The most urgent request here.
    pub fn first(&self) -> Option<Urgency> {
        self.own.iter().map(|(_, urgency)| *urgency).min()
    }

    /// Takes the most urgent request of another instance.
    pub fn hear(&mut self, instance: &str, first: Option<Urgency>, now: Duration) {
        let found = self
            .peers
            .binary_search_by(|(known, _, _)| known.as_str().cmp(instance));
        match (found, first) {
            (Ok(at), Some(urgency)) => {
                self.peers[at].1 = now;
                self.peers[at].2 = urgency;
            }
            (Ok(at), None) => {
                self.peers.remove(at);
            }
            (Err(at), Some(urgency)) => {
                self.peers.insert(at, (instance.to_owned(), now, urgency));
            }
            (Err(_), None) => {}
        }
    }

    /// Whether a request of `me` may go: none that is known is more urgent. Names decide between equals.
    pub fn may_go(&self, me: &str, number: u64, now: Duration) -> bool {
        let found = self
            .own
            .binary_search_by_key(&number, |(number, _)| *number);
        let Ok(at) = found else {
            return true;
        };
        let urgency = self.own[at].1;
        let is_first_here = self
            .own
            .iter()
            .all(|(other, known)| (*known, *other) >= (urgency, number));
        is_first_here
            && self
                .peers
                .iter()
                .filter(|(_, at, _)| now < *at + STALE)
                .all(|(instance, _, known)| (*known, instance.as_str()) > (urgency, me))
    }
}
