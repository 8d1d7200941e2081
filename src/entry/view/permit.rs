use std::time::Duration;

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
    pub(super) fn row(&self) -> Row {
        Row {
            gap_ms: millis(self.gap),
            short: 1,
            running: 1,
            target: self.target,
            tokens: self.tokens,
        }
    }
}
