//! Calls with idempotency keys, which run at most once: claims and recorded outcomes.
//!
//! A [`Ledger`] decides about keys made by callers, by the order of claims on a log stream; [`Issuer`] issues keys
//! and decides about them. "Not run" in a refusal refers to the refused request only; to learn the outcome of an
//! earlier request with the same key, the caller repeats it.

mod entry;
mod issuer;
mod key;
mod ledger;
mod outcome;
mod partition;
mod settings;
mod slot;
mod step;

pub use entry::{decode, encode, Entry, Note};
pub use issuer::Issuer;
pub use key::{issue, scoped, Key, MAX_KEY_BYTES, MAX_SCOPED_BYTES};
pub use ledger::Ledger;
pub use outcome::{Outcome, MAX_BODY_BYTES};
pub use partition::{partition, PARTITIONS};
pub use settings::{Guards, Settings};
pub use step::Step;
