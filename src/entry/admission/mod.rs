//! Admission of long prompts: more of them arrive than the engines can prefill in time, for example because an outage
//! leaves few engines. A prompt that cannot get its first event in time even by an optimistic estimate is refused at
//! once. `docs/design/admission.md` describes the rule.

mod predict;
mod waiting;

pub use predict::{predict, Prediction, Reason, Wait};
pub use waiting::{is_plausible, is_waiting, rank, Waiting, Waitlist, MAX_WAITING};
