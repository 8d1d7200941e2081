use std::time::Duration;

use super::{millis, Work};
use crate::entry::Prefill;

/// Time for which a long prompt is remembered even if its prefill is finished, because its parts delayed others at the
/// same engines. Counts from the choice of its targets and covers the longest objective for a first event.
const PREFILL_RETENTION: Duration = Duration::from_secs(3);

/// The same for a prompt with short parts, which delay others little. Keeps heartbeats small.
const SHORT_PART_RETENTION: Duration = Duration::from_millis(400);

/// Maximum prefill time of a short part.
const SHORT_PART: Duration = Duration::from_millis(60);

#[derive(Clone, Debug)]
pub(super) struct OwnRequest {
    pub(super) number: u64,
    pub(super) work: Work,
}

#[derive(Clone, Debug)]
pub(super) struct OwnPrefill {
    pub(super) prefill: Prefill,
    pub(super) start: Duration,
}

impl OwnPrefill {
    /// The prompt as in a heartbeat that is sent now.
    pub(super) fn aged(&self, now: Duration) -> Prefill {
        Prefill {
            age_ms: millis(now.saturating_sub(self.start)),
            ..self.prefill.clone()
        }
    }

    pub(super) fn retention(&self) -> Duration {
        let part = Duration::from_millis(u64::from(self.prefill.part_ms));
        if part <= SHORT_PART {
            SHORT_PART_RETENTION
        } else {
            PREFILL_RETENTION
        }
    }
}
