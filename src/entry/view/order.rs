use std::time::Duration;

use super::peer::{Peer, PeerPrefill};
use super::View;
use crate::entry::admission::{is_waiting, Waiting};

/// Time without a heartbeat after which an instance's waiting prompts are not counted: two heartbeats at the lowest rate
/// were lost. A cut between domains must not leave prompts of the other side ahead of those of this one.
const WAITING_TIMEOUT: Duration = Duration::from_secs(1);

impl View {
    /// Prefill time, on one engine, of the prompts of all instances that have waited for the same service since before
    /// a prompt of this instance.
    pub fn waiting_ahead(&self, number: u64, now: Duration) -> Duration {
        let Some(own) = self.waiting.get(number) else {
            return Duration::ZERO;
        };
        let is_heard = |peer: &&Peer| now < peer.last_heartbeat + WAITING_TIMEOUT;
        let peers = self.peers.iter().filter(is_heard);
        let prefills = peers.flat_map(|peer| &peer.prefills);
        let others = prefills.filter(|other| is_waiting(&other.prefill));
        let others = others.map(|other| Waiting::new(&other.prefill, other.start));
        others
            .chain(self.waiting.all())
            .filter(|other| other.precedes(&own))
            .fold(Duration::ZERO, |sum, other| {
                sum.saturating_add(other.prefill_time)
            })
    }

    /// Whether a request has to be withdrawn in favor of another instance's, for which some of the same targets were
    /// chosen before either instance knew of the other choice. `window` is the time within which choices become known.
    /// Both instances decide alike: the choice with the lower rank stands. A choice that is older by more than the
    /// window stands in any case, since its instance did not know of this one.
    pub fn gives_way(&self, number: u64, window: Duration) -> bool {
        let Ok(at) = self.prefill(number) else {
            return false;
        };
        let own = &self.prefills[at];
        let conflicts = |other: &&PeerPrefill| {
            let targets = &other.prefill.targets;
            let shares = |target| targets.contains(target);
            !other.prefill.finished
                // Work that is already sent to a held target only has to end first.
                && (other.prefill.held || !own.prefill.held)
                && (own.prefill.background || !other.prefill.background)
                && other.reported > own.start
                && own.prefill.targets.iter().any(shares)
        };
        let wins = |other: &PeerPrefill| {
            if other.start + window < own.start {
                return true;
            }
            other.start <= own.start + window && other.prefill.rank < own.prefill.rank
        };
        let others = self.peers.iter().flat_map(|peer| &peer.prefills);
        others.filter(conflicts).any(wins)
    }
}
