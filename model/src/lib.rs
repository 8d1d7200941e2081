//! Small specifications of the core protocols, searched exhaustively.
//!
//! Each specification drives the decision code of the `jujubehook` library and has mutants, in which one guard is
//! removed; the search must find a counterexample for each mutant.

mod case;
pub mod claim;
pub mod controller;
pub mod exchange;
pub mod gang;
pub mod ownership;
pub mod record;
mod search;

pub use case::Case;
pub use search::search;
pub use search::Outcome;
pub use search::Spec;

/// All specifications and mutants, in the order of the table of results.
pub fn all() -> Vec<Case> {
    let mut cases = ownership::cases();
    cases.extend(controller::cases());
    cases.extend(exchange::cases());
    cases
}
