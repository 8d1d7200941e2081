//! Prompts that need the memory of several engines: reservation and release.
//!
//! The engines that serve one such prompt are a gang. [`plan`] chooses them, [`Coordinator`] runs the gang at the entry
//! instance, and [`Holds`] is the memory that the owner of a target reserves for gangs. Section 7 of `docs/design.md`
//! describes the rules.

mod action;
mod coordinator;
mod event;
mod hold;
mod holds;
mod offer;
mod part;
mod plan;
mod settings;
mod stage;

pub use action::Action;
pub use coordinator::Coordinator;
pub use event::Event;
pub use hold::Hold;
pub use holds::Holds;
pub use offer::Offer;
pub use part::Part;
pub use plan::plan;
pub use settings::{Guards, Settings};
