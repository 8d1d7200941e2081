//! Prometheus metrics of the daemon.
//!
//! `docs/metrics.md` lists them. Labels take their values from closed lists; a value outside of its list is counted
//! as `other`, so that the number of series is bounded.

mod build;
mod label;
mod registry;

pub use registry::Registry;
