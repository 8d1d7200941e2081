//! Specification of the claim protocol.
//!
//! Two instances take calls with the same key. Appends reach the log late, twice or never; replies are lost; an
//! instance crashes and restarts without memory; entries expire from the log; time passes between any two steps. A
//! second specification covers keys that an instance issued.

use jujubehook::claim::{scoped, Entry, Guards, Issuer, Ledger, Outcome as Answer, Settings, Step};
use jujubehook::error::{Executed, Kind};

use crate::{search, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 400_000;

const KEY: &str = "1-sale w";
const SECOND_MS: u64 = 1_000;

/// A search that has not run yet.
pub(crate) type Search = Box<dyn FnOnce() -> Outcome + Send>;

/// Two instances that take calls with one key, and their log.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The instance, 0 or 1, that takes each call.
    pub calls: Vec<usize>,
    /// Number of crashes that may occur.
    pub max_crashes: u8,
    /// Number of log entries that may expire.
    pub max_expired: u64,
    /// Seconds that may pass.
    pub max_seconds: u64,
    /// Settings of the ledgers.
    pub settings: Settings,
    /// Seconds that pass in one step.
    pub step_seconds: u64,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Answered,
    /// The instance that took the call has crashed.
    Crashed,
    /// The first byte was written to the service.
    Dispatched,
    New,
    /// The claim may be dispatched.
    Ready,
    Refused(Kind),
    /// The ledger waits for the log or for the outcome of another claim.
    Waiting,
}

/// State of the calls, the ledgers and the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    calls: Vec<Phase>,
    crashes: u8,
    /// Calls that were dispatched to the service, in order.
    dispatches: Vec<usize>,
    /// Offset of the oldest entry that has not expired.
    first_offset: u64,
    /// Appends that have not reached the log, each with its call.
    in_flight: Vec<(usize, Entry)>,
    ledgers: Vec<Ledger>,
    log: Vec<Entry>,
    now_ms: u64,
    /// Whether the key was refused as expired.
    refused_as_expired: bool,
    /// Violation that occurred in a step, if any.
    violation: Option<&'static str>,
}

impl Claim {
    /// The specification with all guards.
    pub fn new(
        calls: &[usize],
        max_crashes: u8,
        max_expired: u64,
        max_seconds: u64,
        step_seconds: u64,
    ) -> Claim {
        Claim {
            calls: calls.to_vec(),
            max_crashes,
            max_expired,
            max_seconds,
            settings: settings(),
            step_seconds,
        }
    }

    /// The specification with modified guards.
    pub fn with_guards(mut self, modify: impl FnOnce(&mut Guards)) -> Claim {
        modify(&mut self.settings.guards);
        self
    }

    fn ledger(&self, instance: usize, incarnation: u64) -> Ledger {
        Ledger::new(["a", "b"][instance].into(), incarnation, self.settings)
    }

    fn call_steps(&self, state: &State, call: usize, steps: &mut Vec<(String, State)>) {
        let mut push = |label: &str, next: State| steps.push((format!("{label} {call}"), next));
        let instance = self.calls[call];
        match state.calls[call] {
            Phase::New => push("begin", state.successor(|next| next.begin(instance, call))),
            Phase::Waiting => {
                if state.ledgers[instance].poll(KEY, nonce(call), state.now_ms) != Step::Wait {
                    push("poll", state.successor(|next| next.poll(instance, call)));
                }
            }
            Phase::Ready => {
                push(
                    "dispatch",
                    state.successor(|next| next.dispatch(instance, call, true)),
                );
                push(
                    "dispatch without a byte",
                    state.successor(|next| next.dispatch(instance, call, false)),
                );
            }
            Phase::Dispatched => {
                push(
                    "repeat dispatch",
                    state.successor(|next| next.repeat_dispatch(instance, call)),
                );
                push(
                    "finish",
                    state.successor(|next| next.finish(instance, call, true)),
                );
                push(
                    "lose outcome",
                    state.successor(|next| next.finish(instance, call, false)),
                );
            }
            Phase::Answered | Phase::Crashed | Phase::Refused(_) => {}
        }
    }

    /// Restarts an instance with an empty ledger; its open calls get no answer.
    fn crash(&self, state: &State, instance: usize) -> State {
        state.successor(|next| {
            next.crashes += 1;
            next.ledgers[instance] = self.ledger(instance, u64::from(next.crashes));
            next.sync_clocks();
            for (call, phase) in next.calls.iter_mut().enumerate() {
                let open = matches!(phase, Phase::Ready | Phase::Dispatched | Phase::Waiting);
                if self.calls[call] == instance && open {
                    *phase = Phase::Crashed;
                }
            }
        })
    }

    /// Steps of an append. There is none for an append that is lost without a reply: it stays in flight, which no
    /// instance can tell from a loss.
    fn append_steps(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let call = state.in_flight[index].0;
        let appended = state.successor(|next| {
            let (_, entry) = next.in_flight.remove(index);
            next.log.push(entry);
        });
        steps.push((format!("append of {call} lands"), appended));
        if state.calls[call] == Phase::Waiting {
            let failed = state.successor(|next| {
                next.in_flight.remove(index);
                let step = next.ledgers[self.calls[call]].append_failed(KEY, nonce(call));
                next.apply_step(self.calls[call], call, step);
            });
            steps.push((format!("append of {call} fails"), failed));
        }
    }
}

impl Spec for Claim {
    type State = State;

    fn start(&self) -> State {
        let mut state = State {
            calls: vec![Phase::New; self.calls.len()],
            crashes: 0,
            dispatches: Vec::new(),
            first_offset: 1,
            in_flight: Vec::new(),
            ledgers: vec![self.ledger(0, 0), self.ledger(1, 0)],
            log: Vec::new(),
            now_ms: SECOND_MS,
            refused_as_expired: false,
            violation: None,
        };
        state.sync_clocks();
        state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let is_over =
            |phase: &Phase| matches!(phase, Phase::Answered | Phase::Crashed | Phase::Refused(_));
        if state.calls.iter().all(is_over) {
            return steps;
        }
        for call in 0..state.calls.len() {
            self.call_steps(state, call, &mut steps);
        }
        for index in 0..state.in_flight.len() {
            self.append_steps(state, index, &mut steps);
        }
        for instance in 0..state.ledgers.len() {
            if state.ledgers[instance].offset() < state.log.len() as u64 {
                steps.push((
                    format!("read {instance}"),
                    state.successor(|next| next.read(instance)),
                ));
            }
            if state.crashes < self.max_crashes {
                steps.push((format!("death of {instance}"), self.crash(state, instance)));
            }
        }
        if state.first_offset <= self.max_expired.min(state.log.len() as u64) {
            steps.push((
                "retention".into(),
                state.successor(|next| next.first_offset += 1),
            ));
        }
        if state.now_ms <= self.max_seconds * SECOND_MS {
            steps.push((
                "time".into(),
                state.successor(|next| next.now_ms += self.step_seconds * SECOND_MS),
            ));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(violation) = state.violation {
            return Some(violation.into());
        }
        if state.dispatches.len() > 1 {
            return Some("one key is dispatched twice".into());
        }
        let answer_end = SECOND_MS + settings().lifetime_ms + settings().outcome_wait_ms;
        for (call, phase) in state.calls.iter().enumerate() {
            let ledger = &state.ledgers[self.calls[call]];
            let refused = matches!(phase, Phase::Refused(kind) if kind.executed() == Executed::No);
            if refused && state.dispatches.contains(&call) {
                return Some("a call that was dispatched is refused as not executed".into());
            }
            if refused && ledger.clone().dispatch(KEY, nonce(call), state.now_ms) == Step::Dispatch
            {
                return Some(
                    "a call that may still be dispatched is refused as not executed".into(),
                );
            }
            let is_stuck = *phase == Phase::Waiting
                && ledger.poll(KEY, nonce(call), state.now_ms) == Step::Wait;
            // Without the lifetime guard a claim may start at any time, so there is no bound on the wait.
            if is_stuck && state.now_ms >= answer_end && self.settings.guards.lifetime {
                return Some("a call gets no answer".into());
            }
        }
        None
    }
}

impl State {
    fn begin(&mut self, instance: usize, call: usize) {
        self.calls[call] = Phase::Waiting;
        let step = self.ledgers[instance].begin(KEY, nonce(call), self.now_ms);
        self.apply_step(instance, call, step);
    }

    /// The state after `step`, normalized so that equal states compare equal.
    fn successor(&self, step: impl FnOnce(&mut State)) -> State {
        let mut next = self.clone();
        step(&mut next);
        next.sync_clocks();
        next.in_flight
            .sort_by_key(|(call, entry)| (*call, entry.note != jujubehook::claim::Note::Claim));
        next
    }

    /// Checks the claim and, at the same instant, writes the first byte or fails before it.
    fn dispatch(&mut self, instance: usize, call: usize, written: bool) {
        match self.ledgers[instance].dispatch(KEY, nonce(call), self.now_ms) {
            Step::Dispatch if written => self.record_dispatch(call),
            Step::Dispatch => self.apply_step(
                instance,
                call,
                Step::Refuse {
                    kind: Kind::Unavailable,
                },
            ),
            step => self.apply_step(instance, call, step),
        }
    }

    fn finish(&mut self, instance: usize, call: usize, known: bool) {
        let outcome = known.then(|| Answer {
            body: call.to_string(),
            status: 200,
        });
        let entry = self.ledgers[instance].finish(KEY, nonce(call), outcome);
        self.in_flight.extend(entry.map(|entry| (call, entry)));
        self.calls[call] = if known {
            Phase::Answered
        } else {
            Phase::Refused(Kind::OutcomeUnknown)
        };
    }

    fn poll(&mut self, instance: usize, call: usize) {
        let step = self.ledgers[instance].poll(KEY, nonce(call), self.now_ms);
        self.apply_step(instance, call, step);
    }

    fn read(&mut self, instance: usize) {
        let ledger = &mut self.ledgers[instance];
        if ledger.offset() + 1 < self.first_offset {
            ledger.truncate(self.first_offset, self.now_ms);
            if ledger.offset() + 1 >= self.first_offset {
                return;
            }
        }
        let offset = (ledger.offset() + 1).max(self.first_offset);
        if let Some(entry) = self.log.get(offset as usize - 1) {
            ledger.apply(offset, entry, self.now_ms);
        }
    }

    /// Asks for a second dispatch after the first byte, as a retry layer above would.
    fn repeat_dispatch(&mut self, instance: usize, call: usize) {
        if self.ledgers[instance].dispatch(KEY, nonce(call), self.now_ms) == Step::Dispatch {
            self.record_dispatch(call);
        }
    }

    /// Advances the clocks of the ledgers, as each of their methods does, so that equal states compare equal.
    fn sync_clocks(&mut self) {
        for ledger in &mut self.ledgers {
            ledger.truncate(0, self.now_ms);
        }
    }

    /// Applies what a ledger returned for a call.
    fn apply_step(&mut self, instance: usize, call: usize, step: Step) {
        match step {
            Step::Answer { outcome } => {
                self.calls[call] = Phase::Answered;
                if !self
                    .dispatches
                    .iter()
                    .any(|call| call.to_string() == outcome.body)
                {
                    self.violation = Some("an answer has an outcome that no dispatched call gave");
                }
            }
            Step::Append { entry } => self.in_flight.push((call, entry)),
            Step::Dispatch => self.calls[call] = Phase::Ready,
            Step::Refuse { kind } => {
                self.refused_as_expired |= kind == Kind::KeyExpired;
                self.calls[call] = Phase::Refused(kind);
                let unsent = self.ledgers[instance].mark_unsent(KEY, nonce(call));
                self.in_flight.extend(unsent.map(|entry| (call, entry)));
            }
            Step::Wait => {}
        }
    }

    fn record_dispatch(&mut self, call: usize) {
        self.calls[call] = Phase::Dispatched;
        self.dispatches.push(call);
        if self.refused_as_expired {
            self.violation = Some("a dispatch after the key was refused as expired");
        }
    }
}

/// Three calls with an issued key, to an issuer that may crash and restart.
#[derive(Clone, Debug)]
pub struct IssuedClaim {
    /// Whether the restarted issuer has a new incarnation; off in a mutant.
    pub fresh_incarnation: bool,
    /// Settings of the ledger.
    pub settings: Settings,
}

/// State of an issuer and its calls.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct IssuedState {
    calls: Vec<Phase>,
    crashes: u64,
    dispatches: Vec<usize>,
    issuer: Issuer,
    now_ms: u64,
}

impl IssuedClaim {
    fn issuer(&self, incarnation: u64) -> Issuer {
        Issuer::new("a".into(), incarnation, self.settings)
    }

    fn key(&self) -> String {
        scoped("w", &self.issuer(0).issue(1, SECOND_MS))
    }

    /// Takes the next step of a call; a dispatched one finishes, with an outcome or without.
    fn advance(&self, state: &IssuedState, call: usize, outcome: bool) -> IssuedState {
        let (mut next, key, now) = (state.clone(), self.key(), state.now_ms);
        let step = match state.calls[call] {
            Phase::New => next.issuer.begin(&key, nonce(call), now),
            Phase::Waiting => next.issuer.poll(&key, nonce(call), now),
            Phase::Ready => next.issuer.dispatch(&key, nonce(call), now),
            Phase::Dispatched => {
                let body = outcome.then(|| Answer {
                    body: call.to_string(),
                    status: 200,
                });
                next.issuer.finish(&key, nonce(call), body, now);
                next.issuer.poll(&key, nonce(call), now)
            }
            Phase::Answered | Phase::Crashed | Phase::Refused(_) => return next,
        };
        next.calls[call] = match step {
            Step::Answer { .. } => Phase::Answered,
            Step::Append { .. } | Step::Wait => Phase::Waiting,
            Step::Dispatch if state.calls[call] == Phase::Ready => Phase::Dispatched,
            Step::Dispatch => Phase::Ready,
            Step::Refuse { kind } => Phase::Refused(kind),
        };
        if matches!(next.calls[call], Phase::Refused(_)) {
            next.issuer.mark_unsent(&key, nonce(call), now);
        }
        if (state.calls[call], next.calls[call]) == (Phase::Ready, Phase::Dispatched) {
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
            crashes: 0,
            dispatches: Vec::new(),
            issuer: self.issuer(0),
            now_ms: SECOND_MS,
        }
    }

    fn steps(&self, state: &IssuedState) -> Vec<(String, IssuedState)> {
        let mut steps = Vec::new();
        for call in 0..state.calls.len() {
            steps.push((format!("step of {call}"), self.advance(state, call, true)));
            if state.calls[call] == Phase::Dispatched {
                steps.push((
                    format!("lost outcome of {call}"),
                    self.advance(state, call, false),
                ));
            }
            if state.calls[call] == Phase::Ready {
                let mut next = self.advance(state, call, true);
                if next.calls[call] == Phase::Dispatched {
                    next.dispatches.pop();
                    next.issuer
                        .mark_unsent(&self.key(), nonce(call), next.now_ms);
                    next.calls[call] = Phase::Refused(Kind::Unavailable);
                    steps.push((format!("no byte of {call}"), next));
                }
            }
        }
        if state.crashes == 0 {
            let mut next = state.clone();
            next.crashes += 1;
            next.issuer = self.issuer(if self.fresh_incarnation {
                next.crashes
            } else {
                0
            });
            for phase in &mut next.calls {
                if matches!(phase, Phase::Ready | Phase::Dispatched | Phase::Waiting) {
                    *phase = Phase::Crashed;
                }
            }
            steps.push(("death".into(), next));
        }
        if state.now_ms < 8 * SECOND_MS {
            let mut next = state.clone();
            next.now_ms += SECOND_MS;
            steps.push(("second".into(), next));
        }
        steps
    }

    fn violation(&self, state: &IssuedState) -> Option<String> {
        if state.dispatches.len() > 1 {
            return Some("one key is dispatched twice".into());
        }
        let refused = |call: &&usize| matches!(state.calls[**call], Phase::Refused(kind) if kind.executed() == Executed::No);
        if state.dispatches.iter().any(|call| refused(&call)) {
            return Some("a call that was dispatched is refused as not executed".into());
        }
        let answer_end = SECOND_MS + self.settings.lifetime_ms + self.settings.outcome_wait_ms;
        let key = self.key();
        let is_stuck = state.calls.iter().enumerate().any(|(call, phase)| {
            *phase == Phase::Waiting
                && state.issuer.poll(&key, nonce(call), state.now_ms) == Step::Wait
        });
        (is_stuck && state.now_ms >= answer_end).then(|| "a call gets no answer".into())
    }
}

/// Searches the specifications and their mutants; returns each name with its outcome.
pub fn specifications() -> Vec<(String, Outcome)> {
    let race = || Claim::new(&[0, 1, 0], 0, 0, 0, 1);
    let death = || Claim::new(&[0, 1], 1, 0, 4, 2);
    let retention = || Claim::new(&[0, 1], 1, 1, 0, 1);
    let expiry = || Claim::new(&[0, 1], 0, 0, 6, 2);
    let issued = |fresh_incarnation| IssuedClaim {
        fresh_incarnation,
        settings: settings(),
    };
    let search_of = |spec: Claim| -> Search { Box::new(move || search(&spec, MAX_STATES)) };
    run_in_parallel(vec![
        ("claim race", search_of(race())),
        ("claim death", search_of(death())),
        ("claim retention", search_of(retention())),
        ("claim expiry", search_of(expiry())),
        (
            "claim issued",
            Box::new(move || search(&issued(true), MAX_STATES)),
        ),
        (
            "claim race, mutant first",
            search_of(race().with_guards(|guards| guards.first = false)),
        ),
        (
            "claim race, mutant once",
            search_of(race().with_guards(|guards| guards.once = false)),
        ),
        (
            "claim race, mutant owner",
            search_of(race().with_guards(|guards| guards.owner = false)),
        ),
        (
            "claim race, mutant readback",
            search_of(race().with_guards(|guards| guards.readback = false)),
        ),
        (
            "claim retention, mutant horizon",
            search_of(retention().with_guards(|guards| guards.horizon = false)),
        ),
        ("claim death, mutant patience", {
            let long_wait = Settings {
                outcome_wait_ms: 100 * SECOND_MS,
                ..settings()
            };
            search_of(Claim {
                settings: long_wait,
                ..death()
            })
        }),
        (
            "claim expiry, mutant expiry",
            search_of(expiry().with_guards(|guards| guards.expiry = false)),
        ),
        (
            "claim expiry, mutant lifetime",
            search_of(expiry().with_guards(|guards| guards.lifetime = false)),
        ),
        (
            "claim issued, mutant incarnation",
            Box::new(move || search(&issued(false), MAX_STATES)),
        ),
    ])
}

/// Runs independent searches, each on its own thread, and returns their outcomes in the given order.
pub(crate) fn run_in_parallel(searches: Vec<(&str, Search)>) -> Vec<(String, Outcome)> {
    std::thread::scope(|scope| {
        let threads = searches
            .into_iter()
            .map(|(name, search)| (name, scope.spawn(search)))
            .collect::<Vec<_>>();
        let join = |(name, thread): (&str, std::thread::ScopedJoinHandle<'_, Outcome>)| {
            let outcome = thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
            (String::from(name), outcome)
        };
        threads.into_iter().map(join).collect()
    })
}

fn nonce(call: usize) -> u64 {
    call as u64
}

/// Settings with short times, so that a search of a few seconds covers the lifetime of a key.
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
