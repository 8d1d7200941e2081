use std::time::Duration;

use super::{Phase, Release, TargetGrant};
use crate::id::{Incarnation, InstanceId, TargetId};

/// State of one target in a table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    /// Instance that should own the target, as far as this instance knows.
    pub(super) candidate: Option<InstanceId>,
    /// Last grant of the target to a peer.
    pub(super) granted: Option<Granted>,
    /// Grants received for the current sequence, sorted by peer.
    pub(super) grants: Vec<(Release, TargetGrant)>,
    /// Whether the target is listed for this domain; otherwise the entry only records a grant.
    pub(super) listed: bool,
    pub(super) phase: Phase,
    /// Time at which grants were last requested.
    pub(super) requested_at: Option<Duration>,
    /// Acquire sequence of the current attempt or ownership.
    pub(super) sequence: u64,
    pub(super) target: TargetId,
}

/// A grant to a peer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Granted {
    pub(super) incarnation: Incarnation,
    /// Whether this instance owned the target until the grant.
    pub(super) owned: bool,
    /// Acquire sequence of the peer's request.
    pub(super) sequence: u64,
    pub(super) to: InstanceId,
}

impl Entry {
    pub(super) fn new(target: TargetId) -> Self {
        Self {
            candidate: None,
            granted: None,
            grants: Vec::new(),
            listed: false,
            phase: Phase::Idle,
            requested_at: None,
            sequence: 0,
            target,
        }
    }

    /// Ends the current attempt or ownership; returns whether the target was owned.
    pub(super) fn drop_claim(&mut self) -> bool {
        let owned = self.phase == Phase::Owned;
        self.grants.clear();
        self.phase = Phase::Idle;
        self.requested_at = None;
        owned
    }

    pub(super) fn has_grant_from(&self, peer: &InstanceId) -> bool {
        self.grants
            .binary_search_by(|(release, _)| release.from.cmp(peer))
            .is_ok()
    }

    /// Adds a grant. It replaces an earlier one of the same peer.
    pub(super) fn add_grant(&mut self, release: Release, target_grant: TargetGrant) {
        match self
            .grants
            .binary_search_by(|(held, _)| held.from.cmp(&release.from))
        {
            Ok(index) => self.grants[index] = (release, target_grant),
            Err(index) => self.grants.insert(index, (release, target_grant)),
        }
    }

    /// Starts an attempt with a new acquire sequence.
    pub(super) fn start_acquiring(&mut self, sequence: u64) {
        self.grants.clear();
        self.phase = Phase::Acquiring;
        self.requested_at = None;
        self.sequence = sequence;
    }
}
