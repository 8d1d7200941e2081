use std::time::Duration;

use super::entry::Entry;
use super::fit::{Bounds, Fit};
use super::Scheduler;

/// Queue index of the request to send next, and the lowest virtual start of the workspaces that could have been served.
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

    /// Whether a request may overtake one that waits for capacity. A prefill that holds memory already must be able to,
    /// or the two would wait for each other.
    fn may_overtake(&self, bounds: &Bounds<'_>, entry: &Entry) -> bool {
        entry.allocated || bounds.fits_reserve(entry, entry.chunk_end(self.chunk_size()))
    }

    fn may_start(&self, entry: &Entry) -> bool {
        entry.started || !self.leaving
    }

    /// First in, first out. While a request waits for capacity, only requests that hold their memory already and short
    /// requests within their reserve are sent before it.
    fn pick_first(&self, bounds: &Bounds<'_>, now: Duration) -> Option<Pick> {
        let mut blocked = false;
        for (index, entry) in self.waiting.iter().enumerate() {
            if !self.may_start(entry) {
                continue;
            }
            let to = entry.chunk_end(self.chunk_size());
            match bounds.fit(entry, to, entry.is_aged(now)) {
                Fit::Busy | Fit::Never => {}
                Fit::Full => blocked = true,
                Fit::Now if blocked && !self.may_overtake(bounds, entry) => {}
                Fit::Now => return Some(Pick { floor: 0.0, index }),
            }
            if blocked && !self.settings.reserve && !self.settings.chunking {
                return None;
            }
        }
        None
    }

    /// The request with the least slack among the workspaces within the fairness window.
    fn pick_fair(&self, bounds: &Bounds<'_>, now: Duration) -> Option<Pick> {
        let mut heads = vec![None; self.shares.len()];
        let mut urgent = vec![None; self.shares.len()];
        let mut blocked = false;
        for (index, entry) in self.waiting.iter().enumerate() {
            if !self.may_start(entry) {
                continue;
            }
            let to = entry.chunk_end(self.chunk_size());
            let aged = entry.is_aged(now);
            match bounds.fit(entry, to, aged) {
                Fit::Busy | Fit::Never => {}
                Fit::Full => blocked |= aged,
                Fit::Now => {
                    heads[entry.share].get_or_insert(index);
                    if urgent[entry.share].is_none() && (aged || self.may_overtake(bounds, entry)) {
                        urgent[entry.share] = Some(index);
                    }
                }
            }
        }
        self.least_slack(if blocked { &urgent } else { &heads })
    }

    /// `heads` holds, for each workspace, the index of its first request that can be sent.
    fn least_slack(&self, heads: &[Option<usize>]) -> Option<Pick> {
        let start_tag = |share: &usize| self.shares.get(*share).start_tag;
        let ready = || (0..heads.len()).filter(|share| heads[*share].is_some());
        let floor = ready()
            .map(|share| start_tag(&share))
            .min_by(f64::total_cmp)?;
        let window = self.settings.prefill_limit as f64;
        ready()
            .filter(|share| (start_tag(share) - floor) * self.shares.get(*share).weight <= window)
            .filter_map(|share| heads[share])
            .min()
            .map(|index| Pick { floor, index })
    }
}
