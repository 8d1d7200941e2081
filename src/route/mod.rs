//! Choice of the target that gets a request.
//!
//! Every policy chooses among the same targets: those that may take the request, the own domain first. Loads may be out
//! of date; the owner of the target, which has its queue, decides whether to admit the request.

mod affinity;
mod candidate;
mod least_loaded;
mod pool;
mod prefix;
mod requirements;
mod round_robin;

use std::time::Duration;

pub use affinity::Affinity;
pub use candidate::Candidate;
pub use least_loaded::LeastLoaded;
pub use prefix::prefix_hashes;
pub use prefix::BLOCK_TOKENS;
pub use requirements::Requirements;
pub use round_robin::RoundRobin;

use crate::error::{Error, Kind};

/// A routing policy.
pub trait Policy: Send {
    /// Returns the index of the candidate that gets the request; `None` if no candidate may take it.
    fn choose(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        now: Duration,
    ) -> Option<usize>;

    /// Whether requests are sent through the target's owner, which keeps the only queue of the target.
    fn uses_owner(&self) -> bool;
}

/// Creates the policy called `name`: `affinity`, `least-loaded` or `round-robin`. Only `affinity` packs long prompts.
pub fn policy(name: &str, packing: bool) -> Result<Box<dyn Policy>, Error> {
    match name {
        "affinity" => Ok(Box::new(Affinity::new(packing))),
        "least-loaded" => Ok(Box::new(LeastLoaded::default())),
        "round-robin" => Ok(Box::new(RoundRobin::default())),
        _ => Err(Error::new(
            Kind::BadRequest,
            format!("unknown routing policy `{name}`: expected `affinity`, `least-loaded` or `round-robin`"),
        )),
    }
}
