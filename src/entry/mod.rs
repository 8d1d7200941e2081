//! Serving core of an entry instance, for deployments where targets have no owner.
//!
//! Each instance sends to targets directly. Small datagrams ([`Heartbeat`]) tell it what the other instances have sent
//! to each target. It stores nothing durable itself: configuration, targets and instances are records of a log that it
//! follows ([`Fold`]). Callers, targets and the log are reached through the traits of [`platform`], so tests run the
//! decisions without a socket. `docs/notes/platform.md` describes the parts and what each does when another one fails.

pub mod admission;
mod answer;
mod apply;
mod backlog;
mod budgets;
mod cold;
mod config;
mod directory;
mod engine;
mod events;
mod fanout;
mod fold;
mod follow;
mod fragment_record;
mod guard;
mod health;
mod heartbeat;
pub mod hedge;
pub mod held;
mod instance;
pub mod late;
mod load;
mod log_call;
mod member;
mod metric;
mod pauses;
mod peer;
pub mod permit;
mod permits;
mod pick;
mod place;
pub mod platform;
mod position;
mod probe;
pub mod proof;
pub mod quarantine;
mod queue;
mod reachability;
mod reader;
mod relay;
mod request;
mod reservation;
pub mod review;
mod serve;
mod settings;
mod slowdown;
mod stop;
mod transfer;
mod view;

pub use answer::{Answer, Content};
pub use backlog::Backlog;
pub use budgets::Budgets;
pub use cold::ColdLimiter;
pub use config::{Config, Limits, Profile, Route, RouteKind, Service, Workspace};
pub use directory::{Directory, Target};
pub use engine::Engine;
pub use events::Events;
pub use fanout::Fanout;
pub use fold::{Fold, Guards, Rank, Record};
pub use health::Health;
pub use heartbeat::{Heartbeat, Prefill, Row};
pub use instance::Instance;
pub use load::Load;
pub use member::{Member, Members};
pub use metric::Metrics;
pub use pauses::{pause_time, Pauses};
pub use pick::pick;
pub use place::{
    is_long, place, place_held, short_set, survey, unseen_requests, usable, Choice, Helper,
    Placement, Requirements, Survey, Usable,
};
pub use position::Position;
pub use quarantine::Quarantine;
pub use queue::{Admission, FreeRate, Queue, Waiting};
pub use reachability::Reachability;
pub use relay::Relay;
pub use request::{Prompt, Request};
pub use settings::{Hedge, Settings};
pub use slowdown::Slowdowns;
pub use view::{Permit, View, Work};

/// Short form of a target's id in datagrams and tables: the low half of its hash.
pub type TargetKey = u32;

/// Short form of a prompt fragment's id at one service, in datagrams and tables.
pub type FragmentKey = u64;

/// The key of a prompt fragment at a service.
pub fn fragment_key(service: &str, id: &str) -> FragmentKey {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

    xxh3_64_with_seed(id.as_bytes(), xxh3_64(service.as_bytes()))
}

/// The key of the target with this id.
pub fn key(id: &str) -> TargetKey {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as TargetKey
}
