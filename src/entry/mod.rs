//! Serving core of an entry instance without owners.
//!
//! Each instance sends to targets directly. It knows what the others have at each target from short datagrams
//! ([`Beat`]) and keeps nothing that must last: configuration, targets and instances are followed as records of a log
//! ([`Fold`]). Callers, targets and the log are reached through the traits of [`border`], so that decisions run in tests
//! without a socket. `docs/notes/platform.md` describes the parts and what each does when another one fails.

mod answer;
mod backlog;
mod beat;
pub mod border;
mod budgets;
mod cold;
mod config;
mod directory;
mod engine;
mod events;
mod fold;
mod follow;
mod health;
mod instance;
mod load;
mod member;
mod metric;
mod pace;
mod peer;
mod pick;
mod place;
mod probe;
mod reach;
mod relay;
mod request;
mod reservation;
mod serve;
mod settings;
mod stop;
mod view;

pub use answer::{Answer, Content};
pub use backlog::Backlog;
pub use beat::{Beat, Reading, Row};
pub use budgets::Budgets;
pub use cold::Cold;
pub use config::{Config, Figures, Kind, Limits, Route, Service, Workspace};
pub use directory::{Directory, Target};
pub use engine::Engine;
pub use events::Events;
pub use fold::{Fold, Guards, Record};
pub use health::Health;
pub use instance::Instance;
pub use load::Load;
pub use member::{Member, Members};
pub use metric::Metrics;
pub use pace::Pace;
pub use pick::pick;
pub use place::{place, Ask, Choice, Helper, Placement};
pub use reach::Reach;
pub use relay::Relay;
pub use request::{Prompt, Request};
pub use settings::Settings;
pub use view::{View, Work};

/// Short form of a target's id in datagrams and tables: the low half of its hash.
pub type TargetKey = u32;

/// The key of the target with this id.
pub fn key(id: &str) -> TargetKey {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as TargetKey
}
