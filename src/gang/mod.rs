//! Prompts that need several engines: reservation and release.
//!
//! [`plan`] chooses the engines, [`Coordinator`] runs the gang from the entry instance, [`Holds`] is the memory that the
//! owner of a target keeps for gangs. Section 7 of `docs/design.md` gives the rules.

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
