//! Serving layer for model prompts of widely varying lengths.
//!
//! The modules that make decisions are state machines without I/O or clocks, so that the daemon, the model checker and
//! the tests run the same code. `docs/design.md` describes them.

pub mod claim;
pub mod clock;
pub mod command;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod event;
pub mod gang;
pub mod id;
pub mod load;
pub mod metric;
pub mod order;
pub mod owner;
pub mod record;
pub mod remote;
pub mod retry;
pub mod route;
pub mod settings;
pub mod target;
pub mod wire;
