use std::collections::VecDeque;

use super::Sample;

/// Maximum number of samples in a heartbeat.
pub const MAX_SAMPLES: usize = 8;

/// Samples of this instance that no heartbeat has carried yet; only the newest ones are kept.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    samples: VecDeque<Sample>,
}

impl Outbox {
    /// Adds a sample.
    pub fn push(&mut self, sample: Sample) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Removes and returns the samples for a heartbeat that is sent now.
    pub fn take(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.samples).into()
    }
}
