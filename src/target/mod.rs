//! Scheduling on one target: state, limits, queue and admission.
//!
//! [`Scheduler`] is a state machine without I/O and without a clock. The daemon reports events to it and sends to the
//! engine what [`Scheduler::next`] returns.
//!
//! A request is either queued or running. In the queue it waits until its first or its next prefill chunk is sent. At
//! the engine it takes a slot, and until its first token its uncached tokens count against [`Settings::prefill_limit`].
//! From its first chunk to its end, also between two chunks, it holds memory for the prompt and the generated tokens.
//! Slots and memory of foreign streams and gang holds count against the same limits. A request that was admitted is
//! removed exactly once: by [`Scheduler::finish`], [`Scheduler::cancel`], [`Scheduler::expire`], [`Scheduler::drain`]
//! or [`Scheduler::evict`].
//!
//! With [`Settings::slack`] the queue is ordered by deadline minus predicted work, plus [`Settings::ageing`] times the
//! arrival time. All keys approach `now` at the same rate, so that a key stays valid while its request waits. Among
//! the workspaces whose virtual start is within one prefill window of the lowest one, the request with the lowest key
//! goes first. Without `slack` the queue is in order of arrival; a chunked prompt is queued last after each chunk.
//!
//! A request is aged when it has waited for half of its spare time, which is the time to its deadline minus its service
//! time. An aged request that waits for capacity is overtaken only by requests that hold their memory already, by other
//! aged requests, and by short requests within their reserve.

mod admission;
mod cache;
mod class;
mod dispatch;
mod entry;
mod fit;
mod load;
mod pick;
mod ramp;
mod rate;
mod refusal;
mod request;
mod running;
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
