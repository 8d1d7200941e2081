//! Scheduling on one target: state, limits, queue and admission.
//!
//! [`Scheduler`] is a state machine without I/O and without a clock. The daemon reports events to it and sends what
//! [`Scheduler::next`] returns.
//!
//! A request is in one of two places. In the queue it waits for its first or its next prefill piece; at the engine it
//! takes a slot, and until its first token its uncached tokens count against [`Settings::prefill_limit`]. From its
//! first piece to its end it holds memory for prompt and generated tokens, also between two pieces. Slots and memory
//! of foreign streams and gang holds count against the same limits. A request leaves exactly once: by
//! [`Scheduler::finish`], [`Scheduler::cancel`], [`Scheduler::expire`] or [`Scheduler::drain`], unless it was refused.
//!
//! With [`Settings::slack`] the queue is ordered by deadline minus predicted work, plus [`Settings::ageing`] times the
//! arrival. All keys come closer to `now` at the same pace, so that a key stays valid while its request waits. Among
//! the workspaces whose virtual start is within one prefill window of the lowest one, the least key goes first.
//! Without `slack` the queue is in order of arrival; a prompt in pieces goes to its end after each piece.
//!
//! A request that waits for room and has used up half of its spare time is overtaken only by what holds its memory
//! already, by other such requests, and by short ones within their reserve.

mod admission;
mod class;
mod dispatch;
mod entry;
mod fit;
mod flight;
mod load;
mod pick;
mod prefix;
mod ramp;
mod rate;
mod refusal;
mod request;
mod scheduler;
mod settings;
mod share;
mod state;
mod usage;

pub use class::Class;
pub use dispatch::Dispatch;
pub use load::Load;
pub use refusal::Refusal;
pub use request::Request;
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use state::State;
