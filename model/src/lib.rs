//! Specifications of the core protocols with few instances and faults, searched exhaustively.
//!
//! Each specification runs the decision code of the `jujubehook` library. Its mutants disable one guard each; the
//! search must find a counterexample for every mutant, which shows that the guard is needed and that the invariant
//! detects its absence.

mod case;
pub mod claim;
pub mod controller;
pub mod exchange;
pub mod gang;
pub mod ownership;
pub mod record;
pub mod refusal;
mod search;

pub use case::Case;
pub use search::search;
pub use search::Outcome;
pub use search::Spec;

/// Specifications and mutants of the ownership, controller, exchange and refusal protocols, in the order of the printed
/// results.
pub fn cases() -> Vec<Case> {
    let mut cases = ownership::cases();
    cases.extend(controller::cases());
    cases.extend(exchange::cases());
    cases.extend(refusal::cases());
    cases
}
