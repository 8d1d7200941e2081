//! Ownership of targets by instances: heartbeats, leases and handover.
//!
//! A [`Table`] decides for one instance. It does no I/O and reads no clock: every command takes the time since the
//! start of the process and returns the actions to take. `docs/notes/ownership.md` describes the rules and what they
//! guarantee.

mod acquire;
mod action;
mod entry;
mod grant;
mod guards;
mod handover;
mod heartbeat;
mod liveness;
mod peer;
mod phase;
mod release;
mod request;
mod settings;
mod table;
mod target_grant;

pub use acquire::Acquire;
pub use action::Action;
pub use grant::Grant;
pub use guards::Guards;
pub use heartbeat::Heartbeat;
pub use release::Release;
pub use request::Request;
pub use settings::Settings;
pub use table::candidate;
pub use table::Table;
pub use target_grant::TargetGrant;

use entry::Entry;
use peer::Peer;
use phase::Phase;
