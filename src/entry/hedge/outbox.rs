use std::collections::VecDeque;

use super::Sample;

/// Maximum number of samples in a heartbeat.
pub const MAX_SAMPLES: usize = 8;

/// Samples of this instance that no heartbeat has carried yet.
///
/// If there are too many, the oldest one of the route with the most is dropped. Otherwise the samples of a route with
/// many requests would displace those of the other routes, which would then have too few for a quantile.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    samples: VecDeque<Sample>,
}

impl Outbox {
    /// Adds a sample.
    pub fn push(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.drop_one();
        }
    }

    fn drop_one(&mut self) {
        let count = |route| self.samples.iter().filter(|(of, _)| *of == route).count();
        // Of equal counts, the last one counts, which is the oldest.
        let newest_first = (0..self.samples.len()).rev();
        if let Some(at) = newest_first.max_by_key(|at| count(self.samples[*at].0)) {
            self.samples.remove(at);
        }
    }

    /// Removes and returns the samples for a heartbeat that is sent now.
    pub fn take(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.samples).into()
    }
}
