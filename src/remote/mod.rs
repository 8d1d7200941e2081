//! Clients of the log, the instance list and the engines, and their messages.

mod call;
mod change;
mod engine;
mod entry;
mod error;
mod headers;
mod list;
mod listing;
mod log;
mod member;
mod page;
mod role;
mod settings;
mod state;

pub use change::cached_blocks;
pub use change::Change;
pub use change::Effect;
pub use engine::Completion;
pub use engine::Engine;
pub use engine::Event;
pub use engine::Handle;
pub use engine::RunningStream;
pub use engine::Stream;
pub use engine::Usage;
pub use entry::Entry;
pub use error::Error;
pub use headers::boot_number;
pub use headers::cold_flag;
pub use list::List;
pub use listing::Listing;
pub use log::Log;
pub use member::Member;
pub use page::Page;
pub use role::Role;
pub use settings::Settings;
pub use state::State;
