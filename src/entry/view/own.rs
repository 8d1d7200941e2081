use std::time::Duration;

use super::index::{Index, Origin, Source};
use super::{millis, Work};
use crate::entry::{Prefill, Row};

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

    /// Adds its load.
    pub(super) fn index(&self, index: &mut Index) {
        index.add_prefill(origin(self.prefill.number), &self.prefill, self.start);
    }

    /// Removes its load.
    pub(super) fn unindex(&self, index: &mut Index) {
        let targets = self.prefill.targets.iter().copied();
        index.remove_parts(Source::Own(self.prefill.number), targets);
    }
}

impl OwnRequest {
    /// Adds its load, unless its targets are only held for it.
    pub(super) fn index(&self, index: &mut Index) {
        if self.work.held {
            return;
        }
        let work = &self.work;
        let primary = Row {
            gap_ms: millis(work.gap),
            short: u32::from(work.short),
            running: 1,
            target: work.primary,
            tokens: work.tokens,
        };
        index.add_row(origin(self.number), primary);
        for (target, tokens) in &work.helpers {
            let helper = Row {
                target: *target,
                tokens: *tokens,
                ..Row::default()
            };
            index.add_row(origin(self.number), helper);
        }
    }

    /// Removes its load.
    pub(super) fn unindex(&self, index: &mut Index) {
        let helpers = self.work.helpers.iter().map(|(helper, _)| *helper);
        let targets = helpers.chain([self.work.primary]);
        index.remove_rows(Source::Own(self.number), targets);
    }
}

/// The origin of a request's work, which counts until the request ends.
fn origin(number: u64) -> Origin {
    Origin {
        expires: Duration::MAX,
        source: Source::Own(number),
    }
}
