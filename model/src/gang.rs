//! Specification of the gang protocol.
