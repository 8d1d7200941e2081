use std::time::Duration;

use super::TargetKey;
use crate::id::DomainId;

/// Time within which lost targets of one domain are taken together.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Lost targets that make a domain count as cut off. One may have crashed; two at once mostly share the cause.
const UNREACHABLE_TARGETS: usize = 2;

/// Which failure domains this instance cannot reach, from connections that were not accepted.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Sorted by domain.
    domains: Vec<Domain>,
}

#[derive(Clone, Debug)]
struct Domain {
    unreachable: bool,
    targets: Vec<(TargetKey, Duration)>,
    name: DomainId,
}

impl Reachability {
    /// Notes that a target was not reached; true if its domain counts as cut off from now on.
    pub fn mark_unreachable(&mut self, domain: &str, target: TargetKey, now: Duration) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        let at = found.unwrap_or_else(|at| {
            let domain = Domain {
                unreachable: false,
                targets: Vec::new(),
                name: domain.to_owned(),
            };
            self.domains.insert(at, domain);
            at
        });
        let domain = &mut self.domains[at];
        domain
            .targets
            .retain(|(known, at)| *known != target && now < *at + LOSS_WINDOW);
        domain.targets.push((target, now));
        let was_unreachable = domain.unreachable;
        domain.unreachable |= domain.targets.len() >= UNREACHABLE_TARGETS;
        domain.unreachable && !was_unreachable
    }

    /// Notes that a target of the domain was reached; true if the domain counted as cut off.
    pub fn mark_reachable(&mut self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains.remove(at).unreachable)
    }

    /// Whether the domain counts as cut off.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains[at].unreachable)
    }

    /// Domains that count as cut off.
    pub fn unreachable(&self) -> Vec<DomainId> {
        self.domains
            .iter()
            .filter(|domain| domain.unreachable)
            .map(|domain| domain.name.clone())
            .collect()
    }
}
