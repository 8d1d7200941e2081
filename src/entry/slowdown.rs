use std::time::Duration;

use super::TargetKey;

/// Time for which a measurement is used. After it, an engine that was avoided as slow is tried again.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);

/// Step for a sample below the estimate. With these two steps the estimate settles where one sample in four is below
/// it: prefill of other requests stretches some gaps, but only a slow engine stretches nearly all of them.
const STEP_DOWN: f64 = 1.0 / 1.19;

/// Step for a sample above the estimate.
const STEP_UP: f64 = 1.06;

/// Maximum factor; larger measurements are capped.
const MAX_FACTOR: f64 = 12.0;

/// Factors by which engines are slower than their profile, measured by the gaps between the events that they send.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    /// Sorted by target.
    own: Vec<(TargetKey, Sample)>,
    /// Measurements of other instances, sorted by target and instance.
    others: Vec<((TargetKey, u64), Sample)>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    factor: f64,
}

impl Slowdowns {
    /// Records a gap between events that should be `expected` long by the engine's profile.
    pub fn record(&mut self, target: TargetKey, gap: Duration, expected: Duration, now: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = (gap.as_secs_f64() / expected.as_secs_f64()).clamp(1.0, MAX_FACTOR);
        let found = self.own.binary_search_by_key(&target, |(key, _)| *key);
        match found {
            Ok(at) if now < self.own[at].1.at + SAMPLE_LIFETIME => {
                let sample = &mut self.own[at].1;
                let step = if ratio < sample.factor {
                    STEP_DOWN
                } else {
                    STEP_UP
                };
                sample.factor = (sample.factor * step).clamp(1.0, MAX_FACTOR);
                sample.at = now;
            }
            Ok(at) => {
                self.own[at].1 = Sample {
                    at: now,
                    factor: 1.0,
                }
            }
            Err(at) => {
                let sample = Sample {
                    at: now,
                    factor: 1.0,
                };
                self.own.insert(at, (target, sample));
            }
        }
    }

    /// Applies a measurement of another instance.
    pub fn receive(&mut self, instance: u64, target: TargetKey, factor: f64, now: Duration) {
        let sample = Sample {
            at: now,
            factor: factor.clamp(1.0, MAX_FACTOR),
        };
        let key = (target, instance);
        let found = self.others.binary_search_by_key(&key, |(key, _)| *key);
        match found {
            Ok(at) => self.others[at].1 = sample,
            Err(at) => self.others.insert(at, (key, sample)),
        }
    }

    /// The mean of recent measurements; 1 if there is none.
    pub fn factor(&self, target: TargetKey, now: Duration) -> f64 {
        let from = self.others.partition_point(|((key, _), _)| *key < target);
        let others = self.others[from..]
            .iter()
            .take_while(|((key, _), _)| *key == target)
            .map(|(_, sample)| sample);
        let own = self.own.binary_search_by_key(&target, |(key, _)| *key);
        let own = own.ok().map(|at| &self.own[at].1);
        let (sum, count) = others
            .chain(own)
            .filter(|sample| now < sample.at + SAMPLE_LIFETIME)
            .fold((0.0, 0), |(sum, count), sample| {
                (sum + sample.factor, count + 1)
            });
        if count == 0 {
            return 1.0;
        }
        sum / f64::from(count)
    }

    /// Recent measurements of this instance.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (TargetKey, f64)> + '_ {
        self.own
            .iter()
            .filter(move |(_, sample)| now < sample.at + SAMPLE_LIFETIME)
            .map(|(key, sample)| (*key, sample.factor))
    }

    /// Removes measurements that are too old to be used.
    pub fn expire(&mut self, now: Duration) {
        self.own
            .retain(|(_, sample)| now < sample.at + SAMPLE_LIFETIME);
        self.others
            .retain(|(_, sample)| now < sample.at + SAMPLE_LIFETIME);
    }
}
