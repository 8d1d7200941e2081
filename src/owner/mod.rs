//! Which instance owns a target: heartbeats, leases and handover.
