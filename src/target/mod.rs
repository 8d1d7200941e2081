//! Scheduling on one target: state, limits, queue and admission.
//!
//! [`Scheduler`] is a state machine without I/O and without a clock. The daemon reports events to it and sends what
//! [`Scheduler::next`] returns.

mod admission;
mod class;
mod dispatch;
mod entry;
mod fit;
mod flight;
mod item;
mod load;
mod pick;
mod prefix;
mod ramp;
mod rate;
mod refusal;
mod scheduler;
mod settings;
mod share;
mod state;
mod usage;

pub use class::Class;
pub use dispatch::Dispatch;
pub use item::Item;
pub use load::Load;
pub use refusal::Refusal;
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use state::State;
