//! Specification of the claim protocol.
//!
//! Two instances take calls with one key. Appends land late, twice or never; replies are lost; an instance dies and
//! restarts without memory; entries expire from the log; time passes between any two steps. A second specification
//! covers keys that an instance issued.

use jujubehook::claim::{
    scoped, Entry, Guards, IssuedKeys, Ledger, Outcome as Answer, Settings, Step,
};
use jujubehook::error::{Executed, Kind};

use crate::{search, Outcome, Spec};

/// Most states of one search.
const BOUND: usize = 400_000;

const KEY: &str = "1-sale w";
const SECOND_MS: u64 = 1_000;

/// A search to run.
pub(crate) type Job = Box<dyn FnOnce() -> Outcome + Send>;

/// Two instances, one key, a log.
#[derive(Clone, Debug)]
pub struct Claim {
    /// How many processes may die.
    pub deaths: u8,
    /// Settings of the ledgers.
    pub settings: Settings,
    /// The instance, 0 or 1, that takes each call.
    pub calls: Vec<usize>,
    /// Seconds that may pass.
    pub seconds: u64,
    /// Seconds that pass in one step.
    pub step: u64,
    /// How many log entries may expire.
    pub truncations: u64,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Answered,
    Gone,
    New,
    Ready,
    Refused(Kind),
    Sent,
    Waiting,
}

/// State of the system. `fault` records a violated invariant.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    calls: Vec<Phase>,
    deaths: u8,
    /// Calls that wrote to the service, in order.
    dispatches: Vec<usize>,
    /// Whether the key was refused as expired.
    expired: bool,
    fault: Option<&'static str>,
    first: u64,
    flight: Vec<(usize, Entry)>,
    ledgers: Vec<Ledger>,
    log: Vec<Entry>,
    now: u64,
}

impl Claim {
    /// The specification with all guards.
    pub fn new(calls: &[usize], deaths: u8, truncations: u64, seconds: u64, step: u64) -> Claim {
        Claim {
            deaths,
            settings: settings(),
            calls: calls.to_vec(),
            seconds,
            step,
            truncations,
        }
    }

    /// The specification with changed guards.
    pub fn with(mut self, change: impl FnOnce(&mut Guards)) -> Claim {
        change(&mut self.settings.guards);
        self
    }

    fn ledger(&self, instance: usize, incarnation: u64) -> Ledger {
        Ledger::new(["a", "b"][instance].into(), incarnation, self.settings)
    }

    fn call_steps(&self, state: &State, call: usize, steps: &mut Vec<(String, State)>) {
        let mut push = |label: &str, next: State| steps.push((format!("{label} {call}"), next));
        let instance = self.calls[call];
        match state.calls[call] {
            Phase::New => push("begin", state.change(|next| next.begin(instance, call))),
            Phase::Waiting => {
                if state.ledgers[instance].poll(KEY, nonce(call), state.now) != Step::Wait {
                    push("poll", state.change(|next| next.poll(instance, call)));
                }
            }
            Phase::Ready => {
                push(
                    "dispatch",
                    state.change(|next| next.dispatch(instance, call, true)),
                );
                push(
                    "dispatch without a byte",
                    state.change(|next| next.dispatch(instance, call, false)),
                );
            }
            Phase::Sent => {
                push(
                    "repeat dispatch",
                    state.change(|next| next.repeat(instance, call)),
                );
                push(
                    "finish",
                    state.change(|next| next.finish(instance, call, true)),
                );
                push(
                    "lose outcome",
                    state.change(|next| next.finish(instance, call, false)),
                );
            }
            Phase::Answered | Phase::Gone | Phase::Refused(_) => {}
        }
    }

    fn die(&self, state: &State, instance: usize) -> State {
        state.change(|next| {
            next.deaths += 1;
            next.ledgers[instance] = self.ledger(instance, u64::from(next.deaths));
            next.sync();
            for (call, phase) in next.calls.iter_mut().enumerate() {
                let open = matches!(phase, Phase::Ready | Phase::Sent | Phase::Waiting);
                if self.calls[call] == instance && open {
                    *phase = Phase::Gone;
                }
            }
        })
    }

    /// An append that is lost without a reply stays in flight for ever, which is the same to everyone.
    fn flight_steps(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let call = state.flight[index].0;
        let land = state.change(|next| {
            let (_, entry) = next.flight.remove(index);
            next.log.push(entry);
        });
        steps.push((format!("append of {call} lands"), land));
        if state.calls[call] == Phase::Waiting {
            let fail = state.change(|next| {
                next.flight.remove(index);
                let step = next.ledgers[self.calls[call]].append_failed(KEY, nonce(call));
                next.take(self.calls[call], call, step);
            });
            steps.push((format!("append of {call} fails"), fail));
        }
    }
}

impl Spec for Claim {
    type State = State;

    fn start(&self) -> State {
        let mut state = State {
            calls: vec![Phase::New; self.calls.len()],
            deaths: 0,
            dispatches: Vec::new(),
            expired: false,
            fault: None,
            first: 1,
            flight: Vec::new(),
            ledgers: vec![self.ledger(0, 0), self.ledger(1, 0)],
            log: Vec::new(),
            now: SECOND_MS,
        };
        state.sync();
        state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let over =
            |phase: &Phase| matches!(phase, Phase::Answered | Phase::Gone | Phase::Refused(_));
        if state.calls.iter().all(over) {
            return steps;
        }
        for call in 0..state.calls.len() {
            self.call_steps(state, call, &mut steps);
        }
        for index in 0..state.flight.len() {
            self.flight_steps(state, index, &mut steps);
        }
        for instance in 0..state.ledgers.len() {
            if state.ledgers[instance].offset() < state.log.len() as u64 {
                steps.push((
                    format!("read {instance}"),
                    state.change(|next| next.read(instance)),
                ));
            }
            if state.deaths < self.deaths {
                steps.push((format!("death of {instance}"), self.die(state, instance)));
            }
        }
        if state.first <= self.truncations.min(state.log.len() as u64) {
            steps.push(("retention".into(), state.change(|next| next.first += 1)));
        }
        if state.now <= self.seconds * SECOND_MS {
            steps.push((
                "time".into(),
                state.change(|next| next.now += self.step * SECOND_MS),
            ));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(fault) = state.fault {
            return Some(fault.into());
        }
        if state.dispatches.len() > 1 {
            return Some("two dispatches of one key".into());
        }
        let end = SECOND_MS + settings().lifetime_ms + settings().outcome_wait_ms;
        for (call, phase) in state.calls.iter().enumerate() {
            let ledger = &state.ledgers[self.calls[call]];
            let refused = matches!(phase, Phase::Refused(kind) if kind.executed() == Executed::No);
            if refused && state.dispatches.contains(&call) {
                return Some("`not run` for a call that was run".into());
            }
            if refused && ledger.clone().dispatch(KEY, nonce(call), state.now) == Step::Dispatch {
                return Some("`not run` for a call that may still be run".into());
            }
            let stuck =
                *phase == Phase::Waiting && ledger.poll(KEY, nonce(call), state.now) == Step::Wait;
            // Without the lifetime a claim may start at any time, so that there is no such bound.
            if stuck && state.now >= end && self.settings.guards.lifetime {
                return Some("a call gets no answer".into());
            }
        }
        None
    }
}

impl State {
    fn begin(&mut self, instance: usize, call: usize) {
        self.calls[call] = Phase::Waiting;
        let step = self.ledgers[instance].begin(KEY, nonce(call), self.now);
        self.take(instance, call, step);
    }

    fn change(&self, change: impl FnOnce(&mut State)) -> State {
        let mut next = self.clone();
        change(&mut next);
        next.sync();
        next.flight
            .sort_by_key(|(call, entry)| (*call, entry.note != jujubehook::claim::Note::Claim));
        next
    }

    /// Checks the claim and, with no pause after the check, writes the first byte or fails before it.
    fn dispatch(&mut self, instance: usize, call: usize, written: bool) {
        match self.ledgers[instance].dispatch(KEY, nonce(call), self.now) {
            Step::Dispatch if written => self.write(call),
            Step::Dispatch => self.take(
                instance,
                call,
                Step::Refuse {
                    kind: Kind::Unavailable,
                },
            ),
            step => self.take(instance, call, step),
        }
    }

    fn finish(&mut self, instance: usize, call: usize, known: bool) {
        let outcome = known.then(|| Answer {
            body: call.to_string(),
            status: 200,
        });
        let entry = self.ledgers[instance].finish(KEY, nonce(call), outcome);
        self.flight.extend(entry.map(|entry| (call, entry)));
        self.calls[call] = if known {
            Phase::Answered
        } else {
            Phase::Refused(Kind::OutcomeUnknown)
        };
    }

    fn poll(&mut self, instance: usize, call: usize) {
        let step = self.ledgers[instance].poll(KEY, nonce(call), self.now);
        self.take(instance, call, step);
    }

    fn read(&mut self, instance: usize) {
        let ledger = &mut self.ledgers[instance];
        if ledger.offset() + 1 < self.first {
            ledger.truncate(self.first, self.now);
            if ledger.offset() + 1 >= self.first {
                return;
            }
        }
        let offset = (ledger.offset() + 1).max(self.first);
        if let Some(entry) = self.log.get(offset as usize - 1) {
            ledger.apply(offset, entry, self.now);
        }
    }

    /// A retry layer above asks again after the first byte.
    fn repeat(&mut self, instance: usize, call: usize) {
        if self.ledgers[instance].dispatch(KEY, nonce(call), self.now) == Step::Dispatch {
            self.write(call);
        }
    }

    /// Sets the clocks of the ledgers, which each of their methods does as well, so that equal states compare equal.
    fn sync(&mut self) {
        for ledger in &mut self.ledgers {
            ledger.truncate(0, self.now);
        }
    }

    fn take(&mut self, instance: usize, call: usize, step: Step) {
        match step {
            Step::Answer { outcome } => {
                self.calls[call] = Phase::Answered;
                if !self
                    .dispatches
                    .iter()
                    .any(|ran| ran.to_string() == outcome.body)
                {
                    self.fault = Some("an outcome that no run gave");
                }
            }
            Step::Append { entry } => self.flight.push((call, entry)),
            Step::Dispatch => self.calls[call] = Phase::Ready,
            Step::Refuse { kind } => {
                self.expired |= kind == Kind::KeyExpired;
                self.calls[call] = Phase::Refused(kind);
                let note = self.ledgers[instance].mark_unsent(KEY, nonce(call));
                self.flight.extend(note.map(|entry| (call, entry)));
            }
            Step::Wait => {}
        }
    }

    fn write(&mut self, call: usize) {
        self.calls[call] = Phase::Sent;
        self.dispatches.push(call);
        if self.expired {
            self.fault = Some("a dispatch after the key was refused as expired");
        }
    }
}

/// Calls to an issuer that may die and restart.
#[derive(Clone, Debug)]
pub struct IssuedClaim {
    /// Whether the issuer's restart draws a new incarnation; off in a mutant.
    pub fresh: bool,
    /// Settings of the ledger.
    pub settings: Settings,
}

/// State of an issuer, its calls and its service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct IssuedState {
    calls: Vec<Phase>,
    deaths: u64,
    dispatches: Vec<usize>,
    issuer: IssuedKeys,
    now: u64,
}

impl IssuedClaim {
    fn issuer(&self, incarnation: u64) -> IssuedKeys {
        IssuedKeys::new("a".into(), incarnation, self.settings)
    }

    fn key(&self) -> String {
        scoped("w", &self.issuer(0).issue(1, SECOND_MS))
    }

    fn next(&self, state: &IssuedState, call: usize, outcome: bool) -> IssuedState {
        let (mut next, key, now) = (state.clone(), self.key(), state.now);
        let step = match state.calls[call] {
            Phase::New => next.issuer.begin(&key, nonce(call), now),
            Phase::Waiting => next.issuer.poll(&key, nonce(call), now),
            Phase::Ready => next.issuer.dispatch(&key, nonce(call), now),
            Phase::Sent => {
                let body = outcome.then(|| Answer {
                    body: call.to_string(),
                    status: 200,
                });
                next.issuer.finish(&key, nonce(call), body, now);
                next.issuer.poll(&key, nonce(call), now)
            }
            Phase::Answered | Phase::Gone | Phase::Refused(_) => return next,
        };
        next.calls[call] = match step {
            Step::Answer { .. } => Phase::Answered,
            Step::Append { .. } | Step::Wait => Phase::Waiting,
            Step::Dispatch if state.calls[call] == Phase::Ready => Phase::Sent,
            Step::Dispatch => Phase::Ready,
            Step::Refuse { kind } => Phase::Refused(kind),
        };
        if matches!(next.calls[call], Phase::Refused(_)) {
            next.issuer.mark_unsent(&key, nonce(call), now);
        }
        if (state.calls[call], next.calls[call]) == (Phase::Ready, Phase::Sent) {
            next.dispatches.push(call);
        }
        next
    }
}

impl Spec for IssuedClaim {
    type State = IssuedState;

    fn start(&self) -> IssuedState {
        let calls = vec![Phase::New; 3];
        IssuedState {
            calls,
            deaths: 0,
            dispatches: Vec::new(),
            issuer: self.issuer(0),
            now: SECOND_MS,
        }
    }

    fn steps(&self, state: &IssuedState) -> Vec<(String, IssuedState)> {
        let mut steps = Vec::new();
        for call in 0..state.calls.len() {
            steps.push((format!("step of {call}"), self.next(state, call, true)));
            if state.calls[call] == Phase::Sent {
                steps.push((
                    format!("lost outcome of {call}"),
                    self.next(state, call, false),
                ));
            }
            if state.calls[call] == Phase::Ready {
                let mut next = self.next(state, call, true);
                if next.calls[call] == Phase::Sent {
                    next.dispatches.pop();
                    next.issuer.mark_unsent(&self.key(), nonce(call), next.now);
                    next.calls[call] = Phase::Refused(Kind::Unavailable);
                    steps.push((format!("no byte of {call}"), next));
                }
            }
        }
        if state.deaths == 0 {
            let mut next = state.clone();
            next.deaths += 1;
            next.issuer = self.issuer(if self.fresh { next.deaths } else { 0 });
            for phase in &mut next.calls {
                if matches!(phase, Phase::Ready | Phase::Sent | Phase::Waiting) {
                    *phase = Phase::Gone;
                }
            }
            steps.push(("death".into(), next));
        }
        if state.now < 8 * SECOND_MS {
            let mut next = state.clone();
            next.now += SECOND_MS;
            steps.push(("second".into(), next));
        }
        steps
    }

    fn violation(&self, state: &IssuedState) -> Option<String> {
        if state.dispatches.len() > 1 {
            return Some("two dispatches of one key".into());
        }
        let refused = |call: &&usize| matches!(state.calls[**call], Phase::Refused(kind) if kind.executed() == Executed::No);
        if state.dispatches.iter().any(|call| refused(&call)) {
            return Some("`not run` for a call that was run".into());
        }
        let end = SECOND_MS + self.settings.lifetime_ms + self.settings.outcome_wait_ms;
        let key = self.key();
        let stuck = state.calls.iter().enumerate().any(|(call, phase)| {
            *phase == Phase::Waiting
                && state.issuer.poll(&key, nonce(call), state.now) == Step::Wait
        });
        (stuck && state.now >= end).then(|| "a call gets no answer".into())
    }
}

/// Searches the specifications and their mutants.
pub fn specifications() -> Vec<(String, Outcome)> {
    let race = || Claim::new(&[0, 1, 0], 0, 0, 0, 1);
    let death = || Claim::new(&[0, 1], 1, 0, 4, 2);
    let retention = || Claim::new(&[0, 1], 1, 1, 0, 1);
    let expiry = || Claim::new(&[0, 1], 0, 0, 6, 2);
    let issued = |fresh| IssuedClaim {
        fresh,
        settings: settings(),
    };
    let job = |spec: Claim| -> Job { Box::new(move || search(&spec, BOUND)) };
    parallel(vec![
        ("claim race", job(race())),
        ("claim death", job(death())),
        ("claim retention", job(retention())),
        ("claim expiry", job(expiry())),
        (
            "claim issued",
            Box::new(move || search(&issued(true), BOUND)),
        ),
        (
            "claim race, mutant first",
            job(race().with(|guards| guards.first = false)),
        ),
        (
            "claim race, mutant once",
            job(race().with(|guards| guards.once = false)),
        ),
        (
            "claim race, mutant owner",
            job(race().with(|guards| guards.owner = false)),
        ),
        (
            "claim race, mutant readback",
            job(race().with(|guards| guards.readback = false)),
        ),
        (
            "claim retention, mutant horizon",
            job(retention().with(|guards| guards.horizon = false)),
        ),
        ("claim death, mutant patience", {
            let endless = Settings {
                outcome_wait_ms: 100 * SECOND_MS,
                ..settings()
            };
            job(Claim {
                settings: endless,
                ..death()
            })
        }),
        (
            "claim expiry, mutant expiry",
            job(expiry().with(|guards| guards.expiry = false)),
        ),
        (
            "claim expiry, mutant lifetime",
            job(expiry().with(|guards| guards.lifetime = false)),
        ),
        (
            "claim issued, mutant incarnation",
            Box::new(move || search(&issued(false), BOUND)),
        ),
    ])
}

/// Runs independent searches, each in a thread of its own, and returns their outcomes in order.
pub(crate) fn parallel(jobs: Vec<(&str, Job)>) -> Vec<(String, Outcome)> {
    std::thread::scope(|scope| {
        let jobs = jobs
            .into_iter()
            .map(|(name, job)| (name, scope.spawn(job)))
            .collect::<Vec<_>>();
        let join = |(name, job): (&str, std::thread::ScopedJoinHandle<'_, Outcome>)| {
            let outcome = job
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
            (String::from(name), outcome)
        };
        jobs.into_iter().map(join).collect()
    })
}

fn nonce(call: usize) -> u64 {
    call as u64
}

/// Short times, so that a few seconds cover the life of a key.
fn settings() -> Settings {
    Settings {
        max_future_ms: 0,
        lifetime_ms: 3 * SECOND_MS,
        outcome_wait_ms: SECOND_MS,
        clock_skew_ms: SECOND_MS,
        validity_ms: 2 * SECOND_MS,
        ..Settings::default()
    }
}
