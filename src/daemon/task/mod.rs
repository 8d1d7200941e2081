//! Background loops of the daemon.

pub(crate) mod beat;
pub(crate) mod control;
pub(crate) mod follow;
pub(crate) mod list;
pub(crate) mod pump;
pub(crate) mod reap;
mod tag;
