use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::platform::Topic;
use super::{Heartbeat, Position};
use crate::id::{DomainId, Incarnation, InstanceId};

/// Time without a heartbeat after which an instance counts as unreachable: several lost heartbeats at the lowest rate.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of instances of a failure domain that read a topic from the log; the others get its records from them. Two may
/// fail at the same time.
const READERS_PER_DOMAIN: usize = 3;

/// Time within which a change has to be known for which a few instances read the log: others notice the end of a reader
/// after the timeout of heartbeats, then read themselves.
const MIN_SHARED_BOUND: Duration = Duration::from_secs(3);

/// Whether a few instances read a topic for the others, if changes have to be known within `bound`.
pub(super) fn shares_reads(bound: Duration) -> bool {
    bound >= MIN_SHARED_BOUND
}

/// Hash by which instances are chosen to read a topic.
fn weight(instance: &str, topic: Topic) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), topic as u64)
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address for heartbeats and transfers.
    pub address: SocketAddr,
    /// Version of the operator's configuration that it knows; 0 before the first one.
    pub config: u64,
    /// Failure domain; empty before its first heartbeat.
    pub domain: DomainId,
    /// Ends of the topics that it knows, in the order of `Topic::ALL`.
    pub ends: [Position; 3],
    /// Number of its process, drawn at the start.
    pub incarnation: Incarnation,
    /// Name.
    pub instance: InstanceId,
    /// Time of its last heartbeat.
    pub last_heartbeat: Option<Duration>,
    /// Share of a processor core in thousandths; 0 if unknown, or if its process stops.
    pub processor: u32,
    /// Topics that it reads from the log, in the order of `Topic::ALL`.
    pub reads: [bool; 3],
}

impl Member {
    /// Whether heartbeats of it arrive.
    pub fn is_live(&self, now: Duration) -> bool {
        self.is_heard_within(HEARTBEAT_TIMEOUT, now)
    }

    /// Whether its last heartbeat arrived within `time`.
    pub(super) fn is_heard_within(&self, time: Duration, now: Duration) -> bool {
        self.last_heartbeat.is_some_and(|at| now < at + time)
    }
}

/// Record that an instance writes about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Entry {
    /// Address for heartbeats and transfers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
}

/// The other known instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    name: InstanceId,
}

impl Members {
    /// Members without any other instance; `name` is the name of this one.
    pub fn new(name: impl Into<InstanceId>) -> Members {
        Members {
            list: Vec::new(),
            name: name.into(),
        }
    }

    /// Applies an instance's record; none for its removal.
    pub fn apply(&mut self, instance: &str, address: Option<SocketAddr>) {
        if instance == self.name {
            return;
        }
        let found = self
            .list
            .binary_search_by(|member| member.instance.as_str().cmp(instance));
        match (found, address) {
            (Ok(at), Some(address)) => self.list[at].address = address,
            (Ok(at), None) => {
                self.list.remove(at);
            }
            (Err(at), Some(address)) => self.list.insert(
                at,
                Member {
                    address,
                    config: 0,
                    domain: DomainId::new(),
                    ends: [Position::default(); 3],
                    incarnation: 0,
                    instance: instance.to_owned(),
                    last_heartbeat: None,
                    processor: 0,
                    reads: [false; 3],
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Applies a heartbeat, whose datagram came from the address `from`; an unknown instance is added.
    pub fn receive(&mut self, heartbeat: &Heartbeat, from: SocketAddr, now: Duration) {
        if heartbeat.instance == self.name {
            return;
        }
        let address = heartbeat.address.unwrap_or(from);
        self.apply(&heartbeat.instance, Some(address));
        let found = self
            .list
            .binary_search_by(|member| member.instance.cmp(&heartbeat.instance));
        if let Ok(at) = found {
            let member = &mut self.list[at];
            member.domain.clone_from(&heartbeat.domain);
            member.reads = heartbeat.reads;
            member.processor = heartbeat.processor;
            member.config = heartbeat.config;
            member.ends = heartbeat.ends;
            member.last_heartbeat = Some(now);
            member.incarnation = heartbeat.incarnation;
        }
    }

    /// All other instances.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Name of this instance.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Instances from which heartbeats arrive.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(move |member| member.is_live(now))
    }

    /// Names of all known instances including this one, reachable or not.
    pub fn names(&self) -> Vec<InstanceId> {
        let mut names: Vec<InstanceId> = self
            .list
            .iter()
            .map(|member| member.instance.clone())
            .collect();
        names.push(self.name.clone());
        names
    }

    /// A live instance that knows a topic beyond `end`, preferably in the failure domain `domain`. Consecutive values of
    /// `turn` select each of them in turn.
    pub fn ahead(
        &self,
        topic: Topic,
        end: Position,
        now: Duration,
        domain: &str,
        turn: usize,
    ) -> Option<&Member> {
        let is_ahead = |member: &&Member| member.ends[topic as usize] > end;
        let local = || {
            self.live(now)
                .filter(is_ahead)
                .filter(|member| member.domain == domain)
        };
        if let Some(at) = turn.checked_rem(local().count()) {
            return local().nth(at);
        }
        let ahead = || self.live(now).filter(is_ahead);
        ahead().nth(turn.checked_rem(ahead().count())?)
    }

    /// A live instance that knows a later version of the configuration, although it may not have read more of the log:
    /// the log may have come back from a copy without that version.
    pub fn configured(&self, version: u64, now: Duration, turn: usize) -> Option<&Member> {
        let later = || self.live(now).filter(|member| member.config > version);
        later().nth(turn.checked_rem(later().count())?)
    }

    /// A live instance that knows a topic, to ask for what is not in the log.
    pub fn informed(&self, topic: Topic, now: Duration, turn: usize) -> Option<&Member> {
        let knows = |member: &&Member| member.ends[topic as usize] > Position::default();
        let informed = || self.live(now).filter(knows);
        informed().nth(turn.checked_rem(informed().count())?)
    }

    /// Whether this instance, in the failure domain `domain`, reads a topic from the log itself: unless enough live
    /// instances there with a higher hash do so with success. `bound` is the time within which changes have to be known.
    pub fn is_reader(&self, topic: Topic, domain: &str, bound: Duration, now: Duration) -> bool {
        if !shares_reads(bound) {
            return true;
        }
        let own = weight(&self.name, topic);
        let readers = self.live(now).filter(|member| {
            member.domain == domain
                && member.reads[topic as usize]
                && weight(&member.instance, topic) > own
        });
        readers.count() < READERS_PER_DOMAIN
    }

    /// Whether this instance, in the failure domain `domain`, is one of those that try often to read a topic while nobody
    /// there does so with success: those with the highest hash. The others try rarely then, since each call has a cost.
    pub fn tries_often(&self, topic: Topic, domain: &str, bound: Duration, now: Duration) -> bool {
        if !shares_reads(bound) {
            return true;
        }
        let own = weight(&self.name, topic);
        let before = self
            .live(now)
            .filter(|member| member.domain == domain && weight(&member.instance, topic) > own);
        before.count() < READERS_PER_DOMAIN
    }

    /// Number of live instances that read a topic from the log, without this one.
    pub fn readers(&self, topic: Topic, now: Duration) -> usize {
        let readers = self.live(now).filter(|member| member.reads[topic as usize]);
        readers.count()
    }
}
