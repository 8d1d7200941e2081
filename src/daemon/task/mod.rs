//! Background loops of the daemon.

pub(crate) mod control;
pub(crate) mod follow;
pub(crate) mod heartbeat;
pub(crate) mod list;
pub(crate) mod queue;
pub(crate) mod reap;
mod tag;
