//! Permits: each slot of an engine is granted to one request at a time.
//!
//! Load: short prompts at many instances that share engines. An instance learns of what the others send only from their
//! next heartbeats, and all of them prefer the same engines, so slots are taken twice long before the engines are full.
//! In each failure domain one instance, the allocator, grants the slots of the domain's engines and keeps the queue of
//! the requests that wait for one. `docs/design/permits.md` describes the messages and what happens when a part fails.

mod allocator;
mod blocked;
mod elect;
mod message;
mod returns;
mod search;
mod single;

pub use allocator::{Allocator, Answered, Asker, Known, Room, Slots};
pub use elect::{elect, Candidate, Unresponsive};
pub use message::{
    batch, check_processor, check_row, Ask, Envelope, Malformed, Message, Reply, Update,
    MAX_EXCLUDED, MAX_PROCESSOR,
};
pub use search::Search;
pub use single::Single;
