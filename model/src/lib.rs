//! Small specifications of the core protocols, searched exhaustively.
//!
//! Each specification drives the decision code of the `jujubehook` library and has mutants, in which one guard is
//! removed; the search must find a counterexample for each mutant.

pub mod claim;
pub mod controller;
pub mod gang;
pub mod ownership;
pub mod record;
mod search;

pub use search::search;
pub use search::Outcome;
pub use search::Spec;
