//! Which instance owns a target: heartbeats, leases and handover.
//!
//! A [`Table`] decides for one instance. It does no I/O and reads no clock: every command takes the time since the
//! start of the process and returns what is to be done. `docs/notes/ownership.md` states the rules and what they
//! guarantee.

mod acquire;
mod action;
mod ask;
mod beat;
mod entry;
mod grant;
mod guards;
mod handover;
mod holding;
mod liveness;
mod peer;
mod phase;
mod release;
mod settings;
mod table;

pub use acquire::Acquire;
pub use action::Action;
pub use ask::Ask;
pub use beat::Beat;
pub use grant::Grant;
pub use guards::Guards;
pub use holding::Holding;
pub use release::Release;
pub use settings::Settings;
pub use table::candidate;
pub use table::Table;

use entry::Entry;
use peer::Peer;
use phase::Phase;
