use std::time::Duration;

use super::{Phase, Release, TargetGrant};
use crate::id::{Incarnation, InstanceId, TargetId};

/// What a table knows about one target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    /// Instance that should own the target in the own view.
    pub(super) candidate: Option<InstanceId>,
    /// Last asker that was granted the target, with its acquire sequence.
    pub(super) given: Option<Given>,
    /// Grants held for the current sequence, sorted by peer.
    pub(super) grants: Vec<(Release, TargetGrant)>,
    pub(super) phase: Phase,
    /// Acquire sequence of the current attempt or ownership.
    pub(super) sequence: u64,
    /// Last time at which a request for grants was sent.
    pub(super) sent: Option<Duration>,
    pub(super) target: TargetId,
    /// Whether the target is on the instance's own list; otherwise the entry only records a grant.
    pub(super) wanted: bool,
}

/// A grant that was given to a peer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Given {
    pub(super) incarnation: Incarnation,
    /// Whether this instance owned the target until the grant.
    pub(super) owned: bool,
    pub(super) sequence: u64,
    pub(super) to: InstanceId,
}

impl Entry {
    pub(super) fn new(target: TargetId) -> Self {
        Self {
            candidate: None,
            given: None,
            grants: Vec::new(),
            phase: Phase::Idle,
            sequence: 0,
            sent: None,
            target,
            wanted: false,
        }
    }

    /// Ends the current attempt or ownership; returns whether the target was owned.
    pub(super) fn drop_claim(&mut self) -> bool {
        let owned = self.phase == Phase::Owned;
        self.grants.clear();
        self.phase = Phase::Idle;
        self.sent = None;
        owned
    }

    pub(super) fn granted(&self, peer: &InstanceId) -> bool {
        self.grants
            .binary_search_by(|(release, _)| release.from.cmp(peer))
            .is_ok()
    }

    /// Adds a grant; a later one of the same peer replaces the earlier one.
    pub(super) fn insert(&mut self, release: Release, holding: TargetGrant) {
        match self
            .grants
            .binary_search_by(|(held, _)| held.from.cmp(&release.from))
        {
            Ok(index) => self.grants[index] = (release, holding),
            Err(index) => self.grants.insert(index, (release, holding)),
        }
    }

    /// Starts an attempt with a new acquire sequence.
    pub(super) fn start(&mut self, sequence: u64) {
        self.grants.clear();
        self.phase = Phase::Acquiring;
        self.sent = None;
        self.sequence = sequence;
    }
}
