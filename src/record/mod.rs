//! Configuration records: schema versions, fold, snapshot and queries.
//!
//! Operators publish records as JSON entries in the log stream `config`. Each instance applies the entries in offset
//! order to a [`Fold`], which depends on nothing else, so instances at the same offset have the same state. Section 4
//! of `docs/design.md` gives the rules.

mod body;
mod check;
mod decode;
mod domain;
mod entry;
mod fold;
mod grant;
mod kind;
mod object;
#[allow(clippy::module_inception)]
mod record;
mod service;
mod settings;
mod snapshot;
mod target;
mod tombstone;
mod v1;
mod v2;
mod verdict;
mod workspace;

pub use body::Body;
pub use check::{
    MAX_ENTRY_BYTES, MAX_FOLD_BYTES, MAX_ITEMS, MAX_MEMORY_TOKENS, MAX_NAME_BYTES,
    MAX_PROMPT_TOKENS, MAX_RECORDS, MAX_WEIGHT,
};
pub use domain::Domain;
pub use entry::entry;
pub use fold::Fold;
pub use grant::Grant;
pub use kind::Kind;
pub use record::Record;
pub use service::Service;
pub use settings::{Guards, Settings, NEWEST_SCHEMA};
pub use target::Target;
pub use tombstone::{Tombstone, MAX_TOMBSTONES};
pub use verdict::{Verdict, MAX_VERDICTS};
pub use workspace::Workspace;
