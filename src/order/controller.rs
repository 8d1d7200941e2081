use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, Lease, Model, Pacer, Plan, Settings, Target, Term};
use crate::id::{Fence, Incarnation, InstanceId, Offset, TargetId};

/// Renewals per lease, so that two may be lost without losing the lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Controller lease and orders of a domain as one instance knows them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Controller {
    /// Time at which this instance's claim was read back; `None` if it does not hold the lease.
    held_since: Option<Duration>,
    incarnation: Incarnation,
    /// Time at which this instance last appended a claim or renewal.
    last_append: Option<Duration>,
    /// Time at which the last valid entry was read, or at which the process started.
    last_entry: Duration,
    /// Time of the last tick.
    last_tick: Duration,
    me: InstanceId,
    /// Offset of the last entry read.
    offset: Offset,
    pacer: Pacer,
    /// Claims and renewals appended by this instance within the last lease: expiry and time of the append.
    sent_leases: Vec<(u64, Duration)>,
    settings: Settings,
    /// Sorted by target id.
    targets: Vec<Target>,
    term: Option<Term>,
    /// Time on the own clock at which this instance stops giving orders.
    valid_until: Option<Duration>,
}

impl Controller {
    /// Creates the controller of instance `me`, which starts at `now` and knows of no lease.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        settings: Settings,
        now: Duration,
    ) -> Self {
        Self {
            held_since: None,
            incarnation,
            last_append: None,
            last_entry: now,
            last_tick: now,
            me,
            offset: 0,
            pacer: Pacer::new(settings.burst, settings.interval, now),
            sent_leases: Vec::new(),
            settings,
            targets: Vec::new(),
            term: None,
            valid_until: None,
        }
    }

    /// Applies an entry that was read from the control stream at `offset`.
    pub fn apply(&mut self, offset: Offset, lease: &Lease, now: Duration) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        let Some(term) = Term::after(self.term.as_ref(), offset, lease) else {
            return;
        };
        self.last_entry = now;
        let fence = self.fence();
        let mine = term.holder == self.me && term.incarnation == self.incarnation;
        let new = fence != Some(term.fence);
        self.term = Some(term);
        match mine {
            true => self.record_own_lease(lease, new, now),
            false => {
                self.held_since = None;
                self.valid_until = None;
            }
        }
    }

    /// Records what `target` has loaded; `None` if nothing.
    pub fn observe(&mut self, target: &TargetId, loaded: Option<Model>, now: Duration) {
        let Ok(index) = self
            .targets
            .binary_search_by(|known| known.plan.target.cmp(target))
        else {
            return;
        };
        if self.may_order(self.targets[index].plan.checks_fencing, now) {
            self.targets[index].observe(loaded, now);
        }
    }

    /// Sets what the targets are to have loaded.
    pub fn set_plans(&mut self, mut plans: Vec<Plan>) {
        plans.sort_unstable_by(|a, b| a.target.cmp(&b.target));
        plans.dedup_by(|a, b| a.target == b.target);
        let mut old = std::mem::take(&mut self.targets);
        for plan in plans {
            let target = match old.binary_search_by(|known| known.plan.target.cmp(&plan.target)) {
                Ok(index) => {
                    let mut target = old.remove(index);
                    target.plan = plan;
                    target
                }
                Err(_) => Target::new(plan),
            };
            self.targets.push(target);
        }
    }

    /// Advances to `now`: claims or renews the lease, and returns the orders that are due. To be called about every
    /// 100 ms; `unix` is the wall clock in Unix milliseconds.
    pub fn tick(&mut self, now: Duration, unix: u64) -> Vec<Action> {
        if self.is_paused(now) {
            self.valid_until = None;
        }
        self.last_tick = now;
        let mut actions = Vec::new();
        if self.must_append(now) {
            actions.push(Action::Append {
                lease: self.next_lease(now, unix),
            });
        }
        self.order_targets(now, &mut actions);
        actions
    }

    /// The fencing number of the lease, if this instance holds it according to the log.
    pub fn fence(&self) -> Option<Fence> {
        self.held_since?;
        self.term.as_ref().map(|term| term.fence)
    }

    /// Whether this instance may send an order at `now`; `target_checks` tells whether the target checks fencing
    /// numbers.
    pub fn may_order(&self, target_checks: bool, now: Duration) -> bool {
        let Some(since) = self.held_since else {
            return false;
        };
        if self.settings.guards.expiry && self.valid_until.is_none_or(|until| now >= until) {
            return false;
        }
        let wait = self.settings.lease + self.settings.delay;
        let waited = !self.settings.guards.wait || now >= since + wait;
        !self.is_paused(now) && (target_checks || waited)
    }

    /// Creates the next claim or renewal. Its expiry differs from those of earlier appends, so that it is recognized
    /// when it is read back.
    fn next_lease(&mut self, now: Duration, unix: u64) -> Lease {
        let lease = self.settings.lease;
        let expiry = self.term.as_ref().map_or(0, |term| term.expiry);
        let fence = self.fence().filter(|_| unix < expiry).unwrap_or(0);
        let start = if fence == 0 { unix.max(expiry) } else { unix };
        let last = self
            .sent_leases
            .last()
            .map_or(expiry, |(last, _)| expiry.max(*last));
        let expiry = (start + lease.as_millis() as u64).max(last + 1);
        self.last_append = Some(now);
        self.sent_leases
            .retain(|(_, at)| now.saturating_sub(*at) < lease);
        self.sent_leases.push((expiry, now));
        Lease {
            expiry,
            fence,
            holder: self.me.clone(),
            incarnation: self.incarnation,
            start,
        }
    }

    /// Records a claim or renewal of this instance that was read back. Its validity counts from the time of the append,
    /// before which no other instance can have read it.
    fn record_own_lease(&mut self, lease: &Lease, new: bool, now: Duration) {
        if new {
            self.held_since = Some(now);
            self.valid_until = None;
            self.pacer = Pacer::new(self.settings.burst, self.settings.interval, now);
            self.targets.iter_mut().for_each(Target::clear);
        }
        let Some((_, at)) = self
            .sent_leases
            .iter()
            .find(|(expiry, _)| *expiry == lease.expiry)
        else {
            return;
        };
        let until = *at + self.settings.lease.saturating_sub(self.settings.margin);
        self.valid_until = self.valid_until.max(Some(until));
    }

    /// Whether a claim or renewal is due. Instances other than the holder wait for a lease after the last valid entry,
    /// and for up to half a lease more, so that not all instances of a domain claim at once.
    fn must_append(&self, now: Duration) -> bool {
        let lease = self.settings.lease;
        let interval = lease / RENEWALS_PER_LEASE;
        if self
            .last_append
            .is_some_and(|at| now.saturating_sub(at) < interval)
        {
            return false;
        }
        if self.held_since.is_some() {
            return true;
        }
        now.saturating_sub(self.last_entry) >= lease + self.claim_delay()
    }

    fn order_targets(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(fence) = self.fence() else {
            return;
        };
        let (checking, ignoring) = (self.may_order(true, now), self.may_order(false, now));
        for target in &mut self.targets {
            let allowed = if target.plan.checks_fencing {
                checking
            } else {
                ignoring
            };
            if allowed {
                actions.extend(target.next_action(fence, &mut self.pacer, &self.settings, now));
            }
        }
    }

    fn is_paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_tick) > self.settings.pause
    }

    /// Extra delay of a claim, up to half a lease, from a hash of the instance id.
    fn claim_delay(&self) -> Duration {
        let fence = self.term.as_ref().map_or(0, |term| term.fence);
        let half = self.settings.lease.as_millis() as u64 / 2;
        Duration::from_millis(xxh3_64_with_seed(self.me.as_bytes(), fence) % half.max(1))
    }
}
