//! Specification of the controller protocol.
