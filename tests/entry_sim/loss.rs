use std::time::Duration;

use jujubehook::entry::{Engine, Placement, View};

use super::{targets, Simulation, Stage, MAX_ATTEMPTS};

/// Time for which work stalls that depends on an engine that is gone.
const STALL: Duration = Duration::from_millis(1_500);

/// Maximum number of engines at which a request may have run before its first event.
const MAX_RUNS: u32 = 2;

/// Maximum number of sends of one request.
const MAX_SENDS: u32 = 6;

/// The sends of a request that failed.
#[derive(Clone, Debug, Default)]
pub(super) struct Past {
    /// Number of engines at which it may have run.
    ran: u32,
    sends: u32,
    tried: Vec<u32>,
}

/// What a failure does to a request.
enum Loss {
    /// The connection to its primary engine ends.
    Broken,
    /// Another engine that it depends on is gone.
    Stalled,
}

impl Simulation {
    /// Ends what depends on processes that end or are cut off at `now`.
    pub(super) fn lose(&mut self, now: Duration) {
        if !self.faults.begins(now) {
            return;
        }
        for crash in self.faults.engines.iter().filter(|crash| crash.from == now) {
            self.processors[crash.number].clear();
        }
        let crashes = self.faults.instances.clone();
        for crash in crashes.iter().filter(|crash| crash.from == now) {
            self.end_instance(crash.number, now);
        }
        for at in 0..self.attempts.len() {
            self.lose_request(at, false, now);
        }
    }

    /// Ends an instance: engines drop its parts, and its callers go to another one.
    fn end_instance(&mut self, instance: usize, now: Duration) {
        for processor in &mut self.processors {
            processor.remove(|request| request.0 == instance);
        }
        self.views[instance] = View::default();
        self.incarnations[instance] += 1;
        for at in 0..self.attempts.len() {
            let attempt = &mut self.attempts[at];
            if attempt.instance != instance || matches!(attempt.stage, Stage::Over) {
                continue;
            }
            attempt.stage = Stage::Over;
            let (caller, number) = (attempt.caller, attempt.number);
            if number < MAX_ATTEMPTS {
                self.attempt(caller, number + 1, now);
            } else {
                self.give_up(caller);
            }
        }
    }

    /// Records that a caller does not return. An answer that it has a part of stays incomplete.
    pub(super) fn give_up(&mut self, caller: usize) {
        let caller = &mut self.callers[caller];
        caller.broken = caller.first_event.is_some();
    }

    /// Whether the caller of a refused request may return: not if the request may have run.
    pub(super) fn may_return(&self, at: usize) -> bool {
        let attempt = &self.attempts[at];
        attempt.number < MAX_ATTEMPTS && attempt.past.ran == 0
    }

    /// Whether a request may have run, or its caller has a part of the answer.
    pub(super) fn has_run(&self, at: usize) -> bool {
        let attempt = &self.attempts[at];
        attempt.past.ran > 0 || self.callers[attempt.caller].first_event.is_some()
    }

    /// Ends or stalls a request whose engines are out of reach. A request that was just `sent` did not run.
    pub(super) fn lose_request(&mut self, at: usize, sent: bool, now: Duration) {
        let attempt = &self.attempts[at];
        let found = match &attempt.stage {
            Stage::Prefill(number, placement) => {
                let helpers = placement.helpers.iter();
                let keys: Vec<u32> = helpers.map(|helper| helper.target.key()).collect();
                (*number, placement, keys)
            }
            Stage::Decode(number, placement) => {
                // The others have no part in the answer.
                let helpers = placement.helpers.iter();
                let holders = helpers.filter(|helper| helper.reserved > 0);
                let keys = holders.map(|helper| helper.target.key()).collect();
                (*number, placement, keys)
            }
            Stage::Waiting(_) | Stage::Claimed(..) | Stage::Stalled(..) | Stage::Over => return,
        };
        let (number, placement, helpers) = found;
        match self.loss(attempt.instance, placement, &helpers, now) {
            None => {}
            Some(Loss::Broken) => {
                let placement = placement.clone();
                self.resend(at, number, &placement, !sent, now);
            }
            Some(Loss::Stalled) => {
                let placement = placement.clone();
                let request = (attempt.instance, number);
                self.drop_unreached(request, &placement, now);
                self.attempts[at].stage = Stage::Stalled(now + STALL, number, placement);
            }
        }
    }

    fn loss(
        &self,
        instance: usize,
        placement: &Placement,
        helpers: &[u32],
        now: Duration,
    ) -> Option<Loss> {
        let primary = self.engine(placement.primary.key());
        if !self.is_reached(instance, primary, now) {
            return Some(Loss::Broken);
        }
        let is_gone = |key: &u32| !self.is_reached(primary, self.engine(*key), now);
        helpers.iter().any(is_gone).then_some(Loss::Stalled)
    }

    /// Drops the parts of a request at engines that are gone or that its primary engine does not reach.
    fn drop_unreached(&mut self, request: (usize, u64), placement: &Placement, now: Duration) {
        let primary = self.engine(placement.primary.key());
        for key in targets(placement) {
            let helper = self.engine(key);
            if !self.is_reached(primary, helper, now) {
                self.processors[helper].remove(|other| other == request);
            }
        }
    }

    /// Whether an engine is up, and reached from another process.
    fn is_reached(&self, from: usize, engine: usize, now: Duration) -> bool {
        self.faults.is_engine_up(engine, now) && self.faults.connects(from, engine, now)
    }

    /// Sends a request to other engines, if it may be.
    pub(super) fn resend(
        &mut self,
        at: usize,
        number: u64,
        placement: &Placement,
        has_run: bool,
        now: Duration,
    ) {
        let instance = self.attempts[at].instance;
        self.views[instance].finish(number);
        for key in targets(placement) {
            let engine = self.engine(key);
            self.processors[engine].remove(|request| request == (instance, number));
        }
        let attempt = &mut self.attempts[at];
        let caller = &self.callers[attempt.caller];
        // A stream that was cut off counts as no run.
        let resumes = caller.first_event.is_some();
        attempt.past.sends += 1;
        attempt.past.ran += u32::from(has_run && !resumes);
        attempt.past.tried.push(placement.primary.key());
        if attempt.past.sends >= MAX_SENDS || attempt.past.ran >= MAX_RUNS {
            return self.refuse(at, now);
        }
        // A stream waits as long as its caller does, a request without events one objective.
        let until = caller.arrival + caller.class.deadline();
        attempt.since = match resumes {
            true => now.max(until.saturating_sub(caller.class.objective())),
            false => now,
        };
        attempt.stage = Stage::Waiting(now);
    }

    /// The engines to which the instance of a request may send it, of all in their order.
    pub(super) fn usable(&self, at: usize, mut engines: Vec<Engine>, now: Duration) -> Vec<Engine> {
        let attempt = &self.attempts[at];
        let (faults, instance) = (&self.faults, attempt.instance);
        if faults.domains > 1 {
            for (number, engine) in engines.iter_mut().enumerate() {
                engine.local = faults.domain(number) == faults.domain(instance);
            }
        }
        let tried = &attempt.past.tried;
        if tried.is_empty() && faults.is_calm(now) {
            return engines;
        }
        let engines = engines.into_iter().enumerate();
        engines
            .filter(|(number, _)| faults.is_known(instance, *number, now))
            .map(|(_, engine)| engine)
            .filter(|engine| !tried.contains(&engine.key))
            .collect()
    }

    /// Any instance that is up.
    pub(super) fn draw_instance(&mut self, at: Duration) -> usize {
        loop {
            let instance = self.random.usize(..self.views.len());
            if self.faults.is_instance_up(instance, at) {
                return instance;
            }
        }
    }

    /// Delivers the heartbeats that arrive at `now`.
    pub(super) fn deliver(&mut self, now: Duration) {
        for (_, from, heartbeat) in self.heartbeats.iter().filter(|(due, ..)| *due == now) {
            for (number, view) in self.views.iter_mut().enumerate() {
                let is_up = self.faults.is_instance_up(number, now);
                if number != *from && is_up && self.faults.connects(*from, number, now) {
                    view.receive(heartbeat, now);
                }
            }
        }
        self.heartbeats.retain(|(due, ..)| *due > now);
    }
}
