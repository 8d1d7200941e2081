use std::time::Duration;

use super::index::{Index, Origin, Part, Source};
use super::millis;
use crate::entry::{Row, TargetKey};

/// A slot that this instance granted and whose use is not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Time at which it expires without a confirmation.
    pub expires: Duration,
    /// Largest gap between events that the request tolerates.
    pub gap: Duration,
    /// Number; unique at this instance.
    pub number: u64,
    /// Prefill time of the prompt.
    pub part_time: Duration,
    /// Time at which it was granted.
    pub start: Duration,
    /// The target.
    pub target: TargetKey,
    /// Tokens of context.
    pub tokens: u32,
}

impl Permit {
    /// Its load as that of one request.
    fn row(&self) -> Row {
        Row {
            gap_ms: millis(self.gap),
            short: 1,
            running: 1,
            target: self.target,
            tokens: self.tokens,
        }
    }

    /// Adds its load.
    pub(super) fn index(&self, index: &mut Index) {
        let origin = Origin {
            expires: self.expires,
            source: Source::Permit(self.number),
        };
        let part = Part {
            background: false,
            finished: false,
            held: false,
            start: self.start,
            time: self.part_time,
        };
        index.add_row(origin, self.row());
        index.add_part(origin, self.target, part);
    }

    /// Removes its load.
    pub(super) fn unindex(&self, index: &mut Index) {
        let source = Source::Permit(self.number);
        index.remove_rows(source, [self.target]);
        index.remove_parts(source, [self.target]);
    }
}
