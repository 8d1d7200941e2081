//! Work on targets that this instance owns: queueing, dispatch, relay of results, and memory reservations.

mod call;
mod connect;
mod engine;
mod handle;
mod hold;
mod output;
mod queue;
mod run;
mod segment;
mod submission;

pub(crate) use call::call;
pub(crate) use hold::drop_handles;
pub(crate) use hold::hold;
pub(crate) use hold::reserve;
pub(crate) use hold::HOLD_LIFETIME;
pub(crate) use output::Output;
pub(crate) use queue::Queue;
pub(crate) use run::boundary;
pub(crate) use run::run;
pub(crate) use segment::segment;
