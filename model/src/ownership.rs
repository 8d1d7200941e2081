//! Specification of the ownership protocol.
