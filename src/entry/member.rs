use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Heartbeat;
use crate::id::{DomainId, Incarnation, InstanceId, Offset};

/// Time without a heartbeat after which an instance counts as unreachable: several lost heartbeats at the lowest rate.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address for heartbeats and transfers.
    pub address: SocketAddr,
    /// Ends of the topics that it knows, in the order of `Topic::ALL`.
    pub ends: [Offset; 3],
    /// Number of its process, drawn at the start.
    pub incarnation: Incarnation,
    /// Name.
    pub instance: InstanceId,
    /// Time of its last heartbeat.
    pub last_heartbeat: Option<Duration>,
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
                    ends: [0; 3],
                    incarnation: 0,
                    instance: instance.to_owned(),
                    last_heartbeat: None,
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Applies a heartbeat; an unknown instance is added.
    pub fn receive(&mut self, heartbeat: &Heartbeat, address: SocketAddr, now: Duration) {
        if heartbeat.instance == self.name {
            return;
        }
        self.apply(&heartbeat.instance, Some(address));
        let found = self
            .list
            .binary_search_by(|member| member.instance.cmp(&heartbeat.instance));
        if let Ok(at) = found {
            let member = &mut self.list[at];
            member.ends = heartbeat.ends;
            member.last_heartbeat = Some(now);
            member.incarnation = heartbeat.incarnation;
        }
    }

    /// All other instances.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Instances from which heartbeats arrive.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(move |member| {
            member
                .last_heartbeat
                .is_some_and(|at| now < at + HEARTBEAT_TIMEOUT)
        })
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

    /// A live instance that knows a topic beyond `end`. Consecutive values of `turn` select each of them in turn.
    pub fn ahead(&self, topic: usize, end: Offset, now: Duration, turn: usize) -> Option<&Member> {
        let ahead = || self.live(now).filter(|member| member.ends[topic] > end);
        ahead().nth(turn.checked_rem(ahead().count())?)
    }
}
