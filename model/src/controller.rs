//! Specification of the controller protocol.

use crate::Case;

/// The specification and its mutants.
pub fn cases() -> Vec<Case> {
    Vec::new()
}
