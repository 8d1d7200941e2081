use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Member, Members};

/// Time without a heartbeat of an instance after which it is no longer asked to pass on heartbeats, if there are others.
/// Instances at rest send several heartbeats in this time.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of instances of another failure domain that pass on a heartbeat which goes to all instances. One of them may
/// have ended just now.
const RELAYS_TO_ALL: usize = 2;

/// Recipients of one heartbeat. Links between failure domains carry it once for each domain, not once for each instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fanout {
    /// Instances that only read it.
    pub direct: Vec<SocketAddr>,
    /// Instances of other failure domains that pass it on to the live instances of theirs.
    pub relays: Vec<SocketAddr>,
}

/// Live instances of another failure domain.
struct Group<'a> {
    domain: &'a str,
    members: Vec<&'a Member>,
}

impl Members {
    /// Recipients of the heartbeat with the number `sequence` of this instance, which is in the failure domain `domain`.
    /// With `all`, instances that are not live get it too. Each heartbeat is passed on by other instances, so that one
    /// that fails loses few of them.
    pub fn fanout(&self, domain: &str, sequence: u64, all: bool, now: Duration) -> Fanout {
        let mut fanout = Fanout::default();
        if all {
            let absent = self.list().iter().filter(|member| !member.is_live(now));
            fanout.direct = absent.map(|member| member.address).collect();
        }
        fanout.direct.extend(self.neighbors(domain, now));
        let start = xxh3_64_with_seed(self.name().as_bytes(), sequence) as usize;
        let count = if all { RELAYS_TO_ALL } else { 1 };
        for group in self.groups(domain, now) {
            fanout.relays.extend(group.relays(start, count, now));
        }
        fanout
    }

    /// Live instances of the failure domain `domain`.
    pub fn neighbors<'a>(
        &'a self,
        domain: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        self.live(now)
            .filter(move |member| member.domain == domain)
            .map(|member| member.address)
    }

    /// Live instances of all failure domains but `domain`, by domain.
    fn groups(&self, domain: &str, now: Duration) -> Vec<Group<'_>> {
        let mut groups: Vec<Group<'_>> = Vec::new();
        for member in self.live(now).filter(|member| member.domain != domain) {
            match groups.binary_search_by(|group| group.domain.cmp(&member.domain)) {
                Ok(at) => groups[at].members.push(member),
                Err(at) => groups.insert(
                    at,
                    Group {
                        domain: &member.domain,
                        members: vec![member],
                    },
                ),
            }
        }
        groups
    }
}

impl Group<'_> {
    /// Up to `count` instances, preferably with a recent heartbeat; `start` selects them.
    fn relays(&self, start: usize, count: usize, now: Duration) -> Vec<SocketAddr> {
        let is_recent = |member: &&&Member| member.is_heard_within(RELAY_TIMEOUT, now);
        let mut candidates: Vec<&&Member> = self.members.iter().filter(is_recent).collect();
        if candidates.is_empty() {
            candidates = self.members.iter().collect();
        }
        let start = start.checked_rem(candidates.len()).unwrap_or_default();
        candidates.rotate_left(start);
        // Neighbors in the list often fail together: instances are stopped and killed in the order of their names.
        let step = candidates.len().div_ceil(count).max(1);
        let relays = candidates.iter().step_by(step);
        relays.map(|member| member.address).collect()
    }
}
