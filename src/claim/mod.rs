//! Calls that may not be repeated: claims and recorded outcomes.
//!
//! A [`Ledger`] decides for callers' keys by the order of claims on a log stream, an [`IssuedKeys`] ledger for keys that
//! this process issued. A refusal says "not run" about the refused request only; what became of an earlier request with
//! the same key is told by a repeat of that key.

mod entry;
mod issued;
mod key;
mod ledger;
mod outcome;
mod partition;
mod settings;
mod slot;
mod step;

pub use entry::{decode, encode, Entry, Note};
pub use issued::IssuedKeys;
pub use key::{issue, scoped, Key, MAX_KEY_BYTES, MAX_SCOPED_BYTES};
pub use ledger::Ledger;
pub use outcome::{Outcome, MAX_BODY_BYTES};
pub use partition::{partition, PARTITIONS};
pub use settings::{Guards, Settings};
pub use step::Step;
