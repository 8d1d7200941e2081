use std::time::Duration;

use super::TargetKey;
use crate::id::DomainId;

/// Time within which lost targets of one domain are taken together.
const WINDOW: Duration = Duration::from_secs(2);

/// Lost targets that make a domain count as cut off. One may have crashed; two at once mostly share the cause.
const LOST: usize = 2;

/// Which failure domains this instance cannot reach, from connections that were not accepted.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Sorted by domain.
    domains: Vec<Domain>,
}

#[derive(Clone, Debug)]
struct Domain {
    cut: bool,
    lost: Vec<(TargetKey, Duration)>,
    name: DomainId,
}

impl Reach {
    /// Notes that a target was not reached; true if its domain counts as cut off from now on.
    pub fn lose(&mut self, domain: &str, target: TargetKey, now: Duration) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        let at = found.unwrap_or_else(|at| {
            let domain = Domain {
                cut: false,
                lost: Vec::new(),
                name: domain.to_owned(),
            };
            self.domains.insert(at, domain);
            at
        });
        let domain = &mut self.domains[at];
        domain
            .lost
            .retain(|(known, at)| *known != target && now < *at + WINDOW);
        domain.lost.push((target, now));
        let was_cut = domain.cut;
        domain.cut |= domain.lost.len() >= LOST;
        domain.cut && !was_cut
    }

    /// Notes that a target of the domain was reached; true if the domain counted as cut off.
    pub fn reached(&mut self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains.remove(at).cut)
    }

    /// Whether the domain counts as cut off.
    pub fn is_cut(&self, domain: &str) -> bool {
        let found = self
            .domains
            .binary_search_by(|known| known.name.as_str().cmp(domain));
        found.is_ok_and(|at| self.domains[at].cut)
    }

    /// Domains that count as cut off.
    pub fn cut(&self) -> Vec<DomainId> {
        self.domains
            .iter()
            .filter(|domain| domain.cut)
            .map(|domain| domain.name.clone())
            .collect()
    }
}
