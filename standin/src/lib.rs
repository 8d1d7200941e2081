//! Stand-ins for the platform and the targets, with fault injection.
//!
//! Each stand-in is a server that runs until it is dropped; the `standin` binary runs one as a process of its own.
//! `docs/standins.md` describes the protocols and the fault switches.

mod bucket;
mod clock;
mod fault;
mod gate;
mod host;
mod request;
mod signal;
mod warmth;

pub mod command;
pub mod engine;
pub mod list;
pub mod log;
pub mod service;
pub mod store;
pub mod text;

pub use engine::Engine;
pub use list::List;
pub use log::Log;
pub use service::Service;
pub use store::Store;
