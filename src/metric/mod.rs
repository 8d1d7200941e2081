//! Prometheus metrics of the daemon.
//!
//! `docs/metrics.md` lists them. Labels take their values from closed lists; a value outside of its list is counted
//! as `other`, so that the number of series is bounded.

pub(crate) mod build;
mod channel;
mod label;
mod registry;

pub use channel::Channel;
pub use registry::Registry;
