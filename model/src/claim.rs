//! Specification of the claim protocol.
