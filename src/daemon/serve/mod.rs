//! The owner's side: queue, dispatch and relay of one target's work.

mod call;
mod connect;
mod engine;
mod handle;
mod hold;
mod output;
mod run;
mod segment;
mod slot;
mod ticket;

pub(crate) use call::call;
pub(crate) use hold::drop_handles;
pub(crate) use hold::hold;
pub(crate) use hold::reserve;
pub(crate) use hold::HOLD_LIFETIME;
pub(crate) use output::Output;
pub(crate) use run::boundary;
pub(crate) use run::run;
pub(crate) use segment::segment;
pub(crate) use slot::Slot;
