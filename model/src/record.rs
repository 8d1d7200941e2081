//! Specification of the record protocol.
