use std::time::Duration;

use super::entry::Entry;
use super::fit::{Bounds, Fit};
use super::Scheduler;

/// The queue position to send next, and the lowest virtual start among those that could have gone.
pub(super) struct Pick {
    pub(super) floor: f64,
    pub(super) index: usize,
}

impl Scheduler {
    pub(super) fn pick(&self, now: Duration) -> Option<Pick> {
        let bounds = self.bounds();
        if bounds.usage.slots >= bounds.slots {
            return None;
        }
        if self.settings.slack {
            self.pick_fair(&bounds, now)
        } else {
            self.pick_first(&bounds, now)
        }
    }

    /// Whether a request may pass one that waits for room. A prefill that holds its memory already must, or the
    /// two would wait for each other.
    fn may_overtake(&self, bounds: &Bounds<'_>, entry: &Entry) -> bool {
        entry.placed || bounds.fits_reserve(entry, entry.end(self.chunk()))
    }

    fn may_start(&self, entry: &Entry) -> bool {
        entry.started || !self.leaving
    }

    /// First in, first out. Behind a request that waits for room go only what holds its memory already
    /// and short ones within their reserve.
    fn pick_first(&self, bounds: &Bounds<'_>, now: Duration) -> Option<Pick> {
        let mut strict = false;
        for (index, entry) in self.waiting.iter().enumerate() {
            if !self.may_start(entry) {
                continue;
            }
            let to = entry.end(self.chunk());
            match bounds.fit(entry, to, entry.is_aged(now)) {
                Fit::Busy | Fit::Never => {}
                Fit::Full => strict = true,
                Fit::Now if strict && !self.may_overtake(bounds, entry) => {}
                Fit::Now => return Some(Pick { floor: 0.0, index }),
            }
            if strict && !self.settings.reserve && !self.settings.chunking {
                return None;
            }
        }
        None
    }

    /// Least slack among the workspaces that are within the fairness window.
    fn pick_fair(&self, bounds: &Bounds<'_>, now: Duration) -> Option<Pick> {
        let mut all = vec![None; self.shares.len()];
        let mut urgent = vec![None; self.shares.len()];
        let mut strict = false;
        for (index, entry) in self.waiting.iter().enumerate() {
            if !self.may_start(entry) {
                continue;
            }
            let to = entry.end(self.chunk());
            let aged = entry.is_aged(now);
            match bounds.fit(entry, to, aged) {
                Fit::Busy | Fit::Never => {}
                Fit::Full => strict |= aged,
                Fit::Now => {
                    all[entry.share].get_or_insert(index);
                    if urgent[entry.share].is_none() && (aged || self.may_overtake(bounds, entry)) {
                        urgent[entry.share] = Some(index);
                    }
                }
            }
        }
        self.least_slack(if strict { &urgent } else { &all })
    }

    /// `heads` has the first request that can go of each workspace.
    fn least_slack(&self, heads: &[Option<usize>]) -> Option<Pick> {
        let tag = |share: &usize| self.shares.get(*share).tag;
        let ready = || (0..heads.len()).filter(|share| heads[*share].is_some());
        let floor = ready().map(|share| tag(&share)).min_by(f64::total_cmp)?;
        let window = self.settings.prefill_limit as f64;
        ready()
            .filter(|share| (tag(share) - floor) * self.shares.get(*share).weight <= window)
            .filter_map(|share| heads[share])
            .min()
            .map(|index| Pick { floor, index })
    }
}
