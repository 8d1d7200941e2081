//! Prometheus metrics of the daemon.
//!
//! `docs/metrics.md` lists them. Label values come from fixed lists; a value outside of its list is counted as `other`,
//! which bounds the number of series.

pub(crate) mod build;
mod channel;
mod label;
mod registry;

pub use channel::Channel;
pub use registry::Registry;
