use std::time::Duration;

use super::waiting::Entry;

/// Least time after which a refused caller retries.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Longest time after which a refused caller retries.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Longer predictions count as this one, so that retry times near `MAX_RETRY` still differ by up to a second.
const MAX_PREDICTION: Duration = Duration::from_secs(4);

/// Longest retry time relative to the prediction.
const MAX_FACTOR: f64 = 1.5;

/// Highest rate that is used, in slots per second.
const MAX_RATE: f64 = 1e9;

/// What is added to the time in which the requests before one are served.
#[derive(Clone, Copy)]
pub(super) enum Margin {
    /// The mean time until the next slot is free, for a new request and for those that it delays. A waiting request may
    /// keep its place without it. With no margin, requests that were admitted with the last slot in time were refused
    /// as soon as some time had passed before the next slot was free.
    Interval,
    /// Nothing, for requests that wait already.
    None,
}

/// Which waiting requests can start in time.
pub(super) struct Plan {
    /// Index of the request that is due first, if any waits.
    pub(super) first: usize,
    /// Indices of the requests that cannot start in time, in ascending order.
    pub(super) late: Vec<usize>,
}

/// Assigns the slots that become free to the requests, which are in order.
///
/// Levels are assigned in order. Within a level, each request gets the next free slot if that is in time; then all of
/// them are moved to the latest slots that are in time, which leaves the earlier ones to the levels below. A request
/// that keeps the first slot after this has to start now; otherwise the order decides.
pub(super) fn plan(entries: &[Entry], margin: Margin, rate: f64, now: Duration) -> Plan {
    // With one slot more than requests, a request gets the first slot only if it has to.
    let mut slots = Slots::new(entries.len() + 1);
    let mut late = Vec::new();
    let mut accepted = Vec::with_capacity(entries.len());
    let mut from = 0;
    for level in entries.chunk_by(|left, right| left.level == right.level) {
        accepted.clear();
        let mut next = 0;
        for (index, entry) in (from..).zip(level) {
            let last = last_slot(entry, entries.len(), margin, rate, now);
            next = slots.next_free(next);
            match last.filter(|last| next <= *last) {
                Some(last) => {
                    accepted.push((index, last));
                    next += 1;
                }
                None => late.push(index),
            }
        }
        slots.take_latest(&accepted, level[0].level.is_resumed());
        from += level.len();
    }
    Plan {
        first: slots.first.unwrap_or(0),
        late,
    }
}

/// Retry time: the time in which `count` requests are served, lengthened by `random` (0 to 1).
pub(super) fn retry(count: usize, rate: f64, random: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(count as f64 / usable(rate)).unwrap_or(MAX_PREDICTION);
    let least = wait.clamp(MIN_RETRY, MAX_PREDICTION);
    let most = least.mul_f64(MAX_FACTOR).min(MAX_RETRY);
    least + (most - least).mul_f64(random.clamp(0.0, 1.0))
}

/// The last slot with which a request starts in time, at most `count`; none if its time has passed.
fn last_slot(
    entry: &Entry,
    count: usize,
    margin: Margin,
    rate: f64,
    now: Duration,
) -> Option<usize> {
    let waiting = &entry.waiting;
    if waiting.leaves <= now {
        return None;
    }
    if entry.level.has_no_limit() {
        return Some(count);
    }
    let left = waiting.latest_start.min(waiting.leaves).checked_sub(now)?;
    // The conversion to an integer saturates.
    let freed = (left.as_secs_f64() * usable(rate)) as usize;
    let last = match margin {
        Margin::Interval => freed.saturating_sub(1).max(entry.place.min(freed)),
        Margin::None => freed,
    };
    Some(last.min(count))
}

/// The rate within its limits; what is not a number counts as zero.
fn usable(rate: f64) -> f64 {
    if rate > 0.0 {
        rate.min(MAX_RATE)
    } else {
        0.0
    }
}

/// Slots in the order in which they become free.
struct Slots {
    /// The request that has the first slot.
    first: Option<usize>,
    /// Disjoint sets: leads to the latest free slot up to and including each one. Shifted by one; 0 means none.
    free: Vec<usize>,
}

impl Slots {
    fn new(count: usize) -> Slots {
        Slots {
            first: None,
            free: (0..=count).collect(),
        }
    }

    /// Takes slots for the requests of a level, given as index and last slot. A resumed stream takes the earliest
    /// free slot, so that nothing starts before it.
    fn take_latest(&mut self, accepted: &[(usize, usize)], is_resumed: bool) {
        if is_resumed {
            let mut next = 0;
            for (index, _) in accepted {
                next = self.next_free(next);
                self.take(next, *index);
            }
            return;
        }
        let mut limit = usize::MAX;
        for (index, last) in accepted.iter().rev() {
            let Some(slot) = self.latest_free(limit.min(last + 1)) else {
                return;
            };
            self.take(slot, *index);
            limit = slot;
        }
    }

    fn take(&mut self, slot: usize, index: usize) {
        self.free[slot + 1] = slot;
        if slot == 0 {
            self.first = Some(index);
        }
    }

    /// The latest free slot below `limit`.
    fn latest_free(&mut self, limit: usize) -> Option<usize> {
        let mut at = limit.min(self.free.len() - 1);
        while self.free[at] != at {
            self.free[at] = self.free[self.free[at]];
            at = self.free[at];
        }
        at.checked_sub(1)
    }

    /// The earliest free slot from `slot` on.
    fn next_free(&self, slot: usize) -> usize {
        let taken = self.free.iter().enumerate().skip(slot + 1);
        slot + taken.take_while(|(at, free)| *at != **free).count()
    }
}
