use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{key, TargetKey};
use crate::id::{DomainId, TargetId};

/// Time for which a target may be used after its record was removed, if its service has no other target. Records that
/// lapsed during an outage of the log are back within two seconds of its return; a target still missing then is gone.
/// The value is below two seconds by the time that a record takes to arrive.
const LAPSE_GRACE: Duration = Duration::from_millis(1_200);

/// A target as described by its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Address.
    pub address: SocketAddr,
    /// Local time until which it is cold.
    pub cold_until: Duration,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Id; usually changes when the process restarts.
    pub id: TargetId,
    /// Service that it serves.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start of its process in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

impl Target {
    /// Short form of the id.
    pub fn key(&self) -> TargetKey {
        key(&self.id)
    }

    /// Whether this target is draining and `other` describes the same process before it began to drain.
    fn supersedes(&self, other: &Target) -> bool {
        let is_same =
            self.started_unix_ms.is_some() && self.started_unix_ms == other.started_unix_ms;
        is_same && self.draining && !other.draining
    }
}

/// The known targets, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    evacuated: Vec<DomainId>,
    targets: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    lapsed: Option<Duration>,
    target: Rc<Target>,
}

impl Directory {
    /// Applies the newest record of a target, or its removal.
    pub fn apply(&mut self, id: &str, target: Option<Target>, now: Duration) {
        let found = self
            .targets
            .binary_search_by(|entry| entry.target.id.as_str().cmp(id));
        match (found, target) {
            (Ok(at), Some(target)) => {
                // Draining ends with the process, so a record without it is older than the known one.
                if !self.targets[at].target.supersedes(&target) {
                    self.targets[at] = Entry::new(target);
                }
            }
            (Err(at), Some(target)) => self.targets.insert(at, Entry::new(target)),
            (Ok(at), None) => {
                // A draining target left on purpose; its record did not lapse.
                if self.targets[at].target.draining {
                    self.targets.remove(at);
                } else {
                    self.targets[at].lapsed.get_or_insert(now);
                }
            }
            (Err(_), None) => {}
        }
    }

    /// Sets whether a failure domain is evacuated.
    pub fn evacuate(&mut self, domain: &str, evacuated: bool) {
        match (
            self.evacuated
                .binary_search_by(|name| name.as_str().cmp(domain)),
            evacuated,
        ) {
            (Ok(at), false) => {
                self.evacuated.remove(at);
            }
            (Err(at), true) => self.evacuated.insert(at, domain.to_owned()),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Removes targets whose records lapsed and did not return in time.
    pub fn expire(&mut self, now: Duration) {
        self.targets
            .retain(|entry| entry.lapsed.is_none_or(|since| now < since + LAPSE_GRACE));
    }

    /// The target with this id, even if it drains or its record lapsed.
    pub fn target(&self, id: &str) -> Option<&Rc<Target>> {
        let found = self
            .targets
            .binary_search_by(|entry| entry.target.id.as_str().cmp(id));
        Some(&self.targets.get(found.ok()?)?.target)
    }

    /// All known targets.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.targets.iter().map(|entry| &entry.target)
    }

    /// The targets of a service that may get work: those that are not draining and outside evacuated domains. Targets
    /// with lapsed records are returned only if there is no other.
    pub fn usable(&self, service: &str, now: Duration) -> Vec<Rc<Target>> {
        let usable = |entry: &&Entry| {
            let target = &entry.target;
            target.service == service
                && !target.draining
                && self.evacuated.binary_search(&target.domain).is_err()
        };
        let select = |lapsed: bool| -> Vec<Rc<Target>> {
            self.targets
                .iter()
                .filter(usable)
                .filter(|entry| match entry.lapsed {
                    None => !lapsed,
                    Some(since) => lapsed && now < since + LAPSE_GRACE,
                })
                .map(|entry| entry.target.clone())
                .collect()
        };
        let present = select(false);
        if present.is_empty() {
            return select(true);
        }
        present
    }
}

impl Entry {
    fn new(target: Target) -> Entry {
        Entry {
            lapsed: None,
            target: Rc::new(target),
        }
    }
}
