use std::time::Duration;

use super::TargetKey;
use crate::id::DomainId;

/// Time within which failed connections to targets of one domain are counted together.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Number of unreachable targets that make their domain count as unreachable. A single one may have crashed; two at the
/// same time usually have a common cause.
const MIN_UNREACHABLE_TARGETS: usize = 2;

/// Failure domains that this instance cannot reach, judged by failed connections.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Sorted by domain.
    domains: Vec<Domain>,
}

#[derive(Clone, Debug)]
struct Domain {
    name: DomainId,
    targets: Vec<(TargetKey, Duration)>,
    unreachable: bool,
}

impl Reachability {
    /// Records that a target did not accept a connection; true if its domain counts as unreachable from now on.
    pub fn mark_unreachable(&mut self, domain: &str, target: TargetKey, now: Duration) -> bool {
        let found = self
            .domains
            .binary_search_by(|entry| entry.name.as_str().cmp(domain));
        let at = found.unwrap_or_else(|at| {
            let domain = Domain {
                name: domain.to_owned(),
                targets: Vec::new(),
                unreachable: false,
            };
            self.domains.insert(at, domain);
            at
        });
        let domain = &mut self.domains[at];
        domain
            .targets
            .retain(|(key, at)| *key != target && now < *at + FAILURE_WINDOW);
        domain.targets.push((target, now));
        let was_unreachable = domain.unreachable;
        domain.unreachable |= domain.targets.len() >= MIN_UNREACHABLE_TARGETS;
        domain.unreachable && !was_unreachable
    }

    /// Records that a target of the domain accepted a connection; true if the domain counted as unreachable before.
    pub fn mark_reachable(&mut self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|entry| entry.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains.remove(at).unreachable)
    }

    /// Whether the domain counts as unreachable.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|entry| entry.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains[at].unreachable)
    }

    /// Domains that count as unreachable.
    pub fn unreachable(&self) -> Vec<DomainId> {
        self.domains
            .iter()
            .filter(|domain| domain.unreachable)
            .map(|domain| domain.name.clone())
            .collect()
    }
}
