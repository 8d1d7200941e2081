//! Controller lease with fencing, orders to engines to load models, and pacing of loads from the weight store.
//!
//! A [`Controller`] decides for one instance; it does no I/O and reads no clock. At most one instance of a domain holds
//! the lease according to the log; only the holder gives orders. `docs/notes/ownership.md` describes what is guaranteed
//! for engines that check the fencing number and for those that ignore it.

mod action;
mod controller;
mod guards;
mod lease;
mod model;
mod pacer;
mod plan;
mod settings;
mod target;
mod term;

pub use action::Action;
pub use controller::Controller;
pub use guards::Guards;
pub use lease::Lease;
pub use model::Model;
pub use plan::Plan;
pub use settings::Settings;

use pacer::Pacer;
use target::Target;
use term::Term;
