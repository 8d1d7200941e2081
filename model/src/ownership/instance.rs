use std::rc::Rc;
use std::time::Duration;

use jujubehook::owner::{Heartbeat, Table};

/// An instance: its ownership table and its streams at the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Instance {
    /// Streams of other instances at the target, as this instance knows them; `None` until it has read the stream list.
    pub(super) foreign_streams: Option<u8>,
    /// Heartbeats that a paused instance has yet to receive, the last one of each sender.
    pub(super) inbox: Vec<Heartbeat>,
    /// Streams that the instance has opened.
    pub(super) own_streams: u8,
    pub(super) status: Status,
    pub(super) table: Rc<Table>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Status {
    Down,
    Paused,
    Up,
}

impl Instance {
    /// Whether the instance may dispatch now, or would if its pause ended now.
    pub(super) fn may_dispatch(&self, target: &str, clock: u32) -> bool {
        self.status != Status::Down && self.table.may_dispatch(&target.to_string(), time(clock))
    }

    /// Streams at the target, as this instance knows them.
    pub(super) fn known_streams(&self) -> u32 {
        u32::from(self.own_streams) + u32::from(self.foreign_streams.unwrap_or(0))
    }
}

/// The time at `clock` units.
pub(super) fn time(clock: u32) -> Duration {
    Duration::from_secs(u64::from(clock))
}
