use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, Lease, ModelSpec, Pacer, Place, Plan, Settings, Term};
use crate::id::{Fence, Incarnation, InstanceId, Offset, TargetId};

/// Renewals per lease; two may be lost without loss of the lease.
const RENEWALS: u32 = 3;

/// Controller lease and orders as one instance sees them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Controller {
    /// Offset of the last entry read.
    applied: Offset,
    /// Time of the last own append.
    appended: Option<Duration>,
    /// Time at which the own lease was read back; `None` if another instance holds the lease.
    held: Option<Duration>,
    incarnation: Incarnation,
    me: InstanceId,
    pacer: Pacer,
    /// Targets, sorted.
    places: Vec<Place>,
    /// Time at which the last valid entry was read, or the start.
    seen: Duration,
    /// Own appends that are younger than a lease: expiry in the entry and time of the append.
    sent: Vec<(u64, Duration)>,
    settings: Settings,
    term: Option<Term>,
    /// Time of the last tick.
    ticked: Duration,
    /// Time at which this instance stops by its own clock.
    until: Option<Duration>,
}

impl Controller {
    /// Makes the controller of instance `me`, which starts at `now` and knows no lease.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        settings: Settings,
        now: Duration,
    ) -> Self {
        Self {
            applied: 0,
            appended: None,
            held: None,
            incarnation,
            me,
            pacer: Pacer::new(settings.burst, settings.interval, now),
            places: Vec::new(),
            seen: now,
            sent: Vec::new(),
            settings,
            term: None,
            ticked: now,
            until: None,
        }
    }

    /// Takes in an entry that was read from the control stream at `offset`.
    pub fn apply(&mut self, offset: Offset, lease: &Lease, now: Duration) {
        if offset <= self.applied {
            return;
        }
        self.applied = offset;
        let Some(term) = Term::fold(self.term.as_ref(), offset, lease) else {
            return;
        };
        self.seen = now;
        let fence = self.fence();
        let mine = term.holder == self.me && term.incarnation == self.incarnation;
        let new = fence != Some(term.fence);
        self.term = Some(term);
        match mine {
            true => self.hold(lease, new, now),
            false => {
                self.held = None;
                self.until = None;
            }
        }
    }

    /// Takes in what `target` has loaded; `None` means nothing.
    pub fn observe(&mut self, target: &TargetId, loaded: Option<ModelSpec>, now: Duration) {
        let Ok(index) = self
            .places
            .binary_search_by(|place| place.plan.target.cmp(target))
        else {
            return;
        };
        if self.may_order(self.places[index].plan.checks_fencing, now) {
            self.places[index].observe(loaded, now);
        }
    }

    /// Sets what the targets should have loaded.
    pub fn set_plans(&mut self, mut plans: Vec<Plan>) {
        plans.sort_unstable_by(|a, b| a.target.cmp(&b.target));
        plans.dedup_by(|a, b| a.target == b.target);
        let mut old = std::mem::take(&mut self.places);
        for plan in plans {
            let place = match old.binary_search_by(|place| place.plan.target.cmp(&plan.target)) {
                Ok(index) => {
                    let mut place = old.remove(index);
                    place.plan = plan;
                    place
                }
                Err(_) => Place::new(plan),
            };
            self.places.push(place);
        }
    }

    /// Lets time pass: claims or renews the lease and returns the orders that are due. To be called about every 100 ms;
    /// `unix` is the wall clock in milliseconds.
    pub fn tick(&mut self, now: Duration, unix: u64) -> Vec<Action> {
        if self.paused(now) {
            self.until = None;
        }
        self.ticked = now;
        let mut actions = Vec::new();
        if self.must_append(now) {
            actions.push(Action::Append {
                lease: self.append(now, unix),
            });
        }
        self.order(now, &mut actions);
        actions
    }

    /// The fencing number of the own lease, if this instance holds it according to the log.
    pub fn fence(&self) -> Option<Fence> {
        self.held?;
        self.term.as_ref().map(|term| term.fence)
    }

    /// Whether this instance may send an order at `now` to a target that checks fencing numbers or ignores them.
    pub fn may_order(&self, target_checks: bool, now: Duration) -> bool {
        let Some(held) = self.held else {
            return false;
        };
        if self.settings.guards.expiry && self.until.is_none_or(|until| now >= until) {
            return false;
        }
        let wait = self.settings.lease + self.settings.delay;
        let waited = !self.settings.guards.wait || now >= held + wait;
        !self.paused(now) && (target_checks || waited)
    }

    /// Builds the next claim or renewal. Its expiry differs from those of earlier appends, so that the append that was
    /// read back is recognized.
    fn append(&mut self, now: Duration, unix: u64) -> Lease {
        let lease = self.settings.lease;
        let expiry = self.term.as_ref().map_or(0, |term| term.expiry);
        let fence = self.fence().filter(|_| unix < expiry).unwrap_or(0);
        let start = if fence == 0 { unix.max(expiry) } else { unix };
        let last = self
            .sent
            .last()
            .map_or(expiry, |(last, _)| expiry.max(*last));
        let expiry = (start + lease.as_millis() as u64).max(last + 1);
        self.appended = Some(now);
        self.sent.retain(|(_, at)| now.saturating_sub(*at) < lease);
        self.sent.push((expiry, now));
        Lease {
            expiry,
            fence,
            holder: self.me.clone(),
            incarnation: self.incarnation,
            start,
        }
    }

    /// Takes in the own lease or renewal. It counts from the time of the append, which is earlier than the time at which
    /// any other instance can have read it.
    fn hold(&mut self, lease: &Lease, new: bool, now: Duration) {
        if new {
            self.held = Some(now);
            self.until = None;
            self.pacer = Pacer::new(self.settings.burst, self.settings.interval, now);
            self.places.iter_mut().for_each(Place::clear);
        }
        let Some((_, at)) = self.sent.iter().find(|(expiry, _)| *expiry == lease.expiry) else {
            return;
        };
        let until = *at + self.settings.lease.saturating_sub(self.settings.margin);
        self.until = self.until.max(Some(until));
    }

    /// Whether a claim or renewal is due. Others wait a lease after the last valid entry, and up to half a lease more by
    /// a hash, so that not all instances of a domain claim at once.
    fn must_append(&self, now: Duration) -> bool {
        let lease = self.settings.lease;
        let interval = lease / RENEWALS;
        if self
            .appended
            .is_some_and(|at| now.saturating_sub(at) < interval)
        {
            return false;
        }
        if self.held.is_some() {
            return true;
        }
        now.saturating_sub(self.seen) >= lease + self.spread()
    }

    fn order(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(fence) = self.fence() else {
            return;
        };
        let (checking, ignoring) = (self.may_order(true, now), self.may_order(false, now));
        for place in &mut self.places {
            let may = if place.plan.checks_fencing {
                checking
            } else {
                ignoring
            };
            if may {
                actions.extend(place.next(fence, &mut self.pacer, &self.settings, now));
            }
        }
    }

    fn paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.ticked) > self.settings.pause
    }

    fn spread(&self) -> Duration {
        let fence = self.term.as_ref().map_or(0, |term| term.fence);
        let half = self.settings.lease.as_millis() as u64 / 2;
        Duration::from_millis(xxh3_64_with_seed(self.me.as_bytes(), fence) % half.max(1))
    }
}
