use std::rc::Rc;
use std::time::Duration;

use jujubehook::owner::{Heartbeat, Table};

/// One instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Node {
    /// Streams that the instance counts as foreign load; `None` until it has read the target's stream list.
    pub(super) foreign: Option<u8>,
    /// Heartbeats that wait for a paused instance, the last one of each sender.
    pub(super) inbox: Vec<Heartbeat>,
    /// Streams that the instance has opened.
    pub(super) own: u8,
    pub(super) status: Status,
    pub(super) table: Rc<Table>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Status {
    Down,
    Paused,
    Up,
}

impl Node {
    /// Whether the instance may dispatch, or would find so if its pause ended now.
    pub(super) fn may_dispatch(&self, target: &str, clock: u32) -> bool {
        self.status != Status::Down && self.table.may_dispatch(&target.to_string(), time(clock))
    }

    /// Streams at the target as this instance knows them.
    pub(super) fn known(&self) -> u32 {
        u32::from(self.own) + u32::from(self.foreign.unwrap_or(0))
    }
}

/// The time at `clock` units.
pub(super) fn time(clock: u32) -> Duration {
    Duration::from_secs(u64::from(clock))
}
