use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{key, TargetKey};
use crate::id::{DomainId, TargetId};

/// Time for which a target may be used after its record was removed, if its service has no other target. Records that
/// lapsed during an outage of the log are back within two seconds of its return; a target still missing then is gone.
/// The value is below two seconds by the time that a record takes to arrive.
const LAPSE_GRACE: Duration = Duration::from_millis(1_200);

/// Time for which a target that leaves is remembered after it said so. Its process exits within seconds.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Time for which other instances are told about a target that leaves; several heartbeats may be lost meanwhile.
const REPORT_TIME: Duration = Duration::from_secs(10);

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
    /// Processes that said that they leave, sorted by id. Records may say otherwise, or be gone for a while.
    leaving: Vec<Leaving>,
    targets: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    lapsed: Option<Duration>,
    target: Rc<Target>,
}

/// A process that said in an answer that it leaves.
#[derive(Clone, Debug)]
struct Leaving {
    id: TargetId,
    /// Whether it said so to this instance; only this is reported to others.
    own: bool,
    since: Duration,
    started_unix_ms: Option<u64>,
}

impl Directory {
    /// Records that the process of a target said to this instance that it leaves; false if that is known, or if the
    /// target has another process now.
    pub fn leave(&mut self, id: &str, started_unix_ms: Option<u64>, now: Duration) -> bool {
        self.add_leaving(id, started_unix_ms, true, now)
    }

    /// Applies what another instance reported of a target that leaves; as [`leave`](Directory::leave).
    pub fn receive(
        &mut self,
        target: TargetKey,
        started_unix_ms: Option<u64>,
        now: Duration,
    ) -> bool {
        let known = self.targets().find(|known| known.key() == target);
        let Some(id) = known.map(|known| known.id.clone()) else {
            return false;
        };
        self.add_leaving(&id, started_unix_ms, false, now)
    }

    fn add_leaving(&mut self, id: &str, started: Option<u64>, own: bool, now: Duration) -> bool {
        let current = self.target(id).map(|target| target.started_unix_ms);
        if current.is_some_and(|current| current != started) || self.is_leaving(id, started) {
            return false;
        }
        let leaving = Leaving {
            id: id.to_owned(),
            own,
            since: now,
            started_unix_ms: started,
        };
        match self.find_leaving(id) {
            Ok(at) => self.leaving[at] = leaving,
            Err(at) => self.leaving.insert(at, leaving),
        }
        true
    }

    fn find_leaving(&self, id: &str) -> Result<usize, usize> {
        self.leaving
            .binary_search_by(|leaving| leaving.id.as_str().cmp(id))
    }

    /// Whether the process of a target that started at this time said that it leaves.
    pub fn is_leaving(&self, id: &str, started_unix_ms: Option<u64>) -> bool {
        let found = self.find_leaving(id);
        found.is_ok_and(|at| self.leaving[at].started_unix_ms == started_unix_ms)
    }

    /// Targets that said to this instance recently that they leave, and the starts of their processes.
    pub fn reports(&self, now: Duration) -> Vec<(TargetKey, Option<u64>)> {
        self.leaving
            .iter()
            .filter(|leaving| leaving.own && now < leaving.since.saturating_add(REPORT_TIME))
            .map(|leaving| (key(&leaving.id), leaving.started_unix_ms))
            .collect()
    }

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
                let target = &self.targets[at].target;
                // A draining target left on purpose; its record did not lapse.
                if target.draining || self.is_leaving(id, target.started_unix_ms) {
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
        self.leaving
            .retain(|leaving| now < leaving.since.saturating_add(LEAVING_RETENTION));
    }

    /// The target with this id, even if it drains or its record lapsed.
    pub fn target(&self, id: &str) -> Option<&Rc<Target>> {
        let found = self
            .targets
            .binary_search_by(|entry| entry.target.id.as_str().cmp(id));
        Some(&self.targets.get(found.ok()?)?.target)
    }

    /// The failure domain of a target.
    pub fn domain(&self, key: TargetKey) -> Option<&str> {
        let found = self.targets.iter().find(|entry| entry.target.key() == key);
        Some(&found?.target.domain)
    }

    /// All known targets.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.targets.iter().map(|entry| &entry.target)
    }

    /// The targets of a service that may get work: those that neither drain nor leave, outside evacuated domains. Targets
    /// with lapsed records are returned only if there is no other.
    pub fn usable(&self, service: &str, now: Duration) -> Vec<Rc<Target>> {
        let usable = |entry: &&Entry| {
            let target = &entry.target;
            target.service == service
                && !target.draining
                && !self.is_leaving(&target.id, target.started_unix_ms)
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
