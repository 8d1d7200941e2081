//! Specification of the record protocol.
//!
//! Operators race on one record, in both schema versions, and repeat an entry whose reply was lost. Instances read the
//! log at their own pace, adopt the fold of any peer or a snapshot, get entries twice, and restart empty; one of them
//! may be an older build that reads schema 1 only. Entries expire from the log. An instance that makes no step is one
//! that is cut off.

use jujubehook::record::{Fold, Guards, Kind, Settings, Verdict, NEWEST_SCHEMA};

use crate::claim::{parallel, Job};
use crate::{search, Outcome, Spec};

/// Most states of one search.
const BOUND: usize = 400_000;

const NAME: &str = "n";

/// What an operator publishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wish {
    /// Domain in service, schema 2.
    In,
    /// No record.
    Nothing,
    /// Domain out of service, schema 1.
    Out,
}

/// Instances, operators and a log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Newest schema that each instance reads.
    pub builds: Vec<u64>,
    /// Whether entries expire only after a snapshot covers them; off in a mutant.
    pub covered: bool,
    /// How many restarts there may be.
    pub deaths: u8,
    /// Guards of the folds.
    pub guards: Guards,
    /// How many entries may be repeated after a lost reply.
    pub repeats: u8,
    /// How many entries may expire.
    pub retention: u64,
    /// One operator each.
    pub wishes: Vec<Wish>,
}

/// How far an operator is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Looked(u64),
    Sent(u64),
}

/// State of the system. `fault` records a violated invariant.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    deaths: u8,
    fault: Option<&'static str>,
    first: u64,
    folds: Vec<Fold>,
    /// Highest offset that each process had in force.
    highest: Vec<u64>,
    /// Snapshot of an instance that has read everything, for each offset.
    history: Vec<Vec<u8>>,
    /// Offset of the last change of the record.
    last: u64,
    log: Vec<String>,
    operators: Vec<Phase>,
    reference: Fold,
    repeats: u8,
    /// Offset and bytes of the highest snapshot.
    snapshot: Option<(u64, Vec<u8>)>,
}

impl Record {
    fn adopt(&self, state: &State, instance: usize, bytes: &[u8]) -> Option<State> {
        let other = Fold::from_snapshot_with(bytes, self.settings(self.builds[instance])).ok()?;
        let mut next = state.clone();
        next.folds[instance].adopt(other).then_some(next)
    }

    /// Whether the instance gets to the end of the log, or to an entry that its build does not read.
    fn catches_up(&self, state: &State, instance: usize) -> bool {
        let mut fold = state.folds[instance].clone();
        let build = self.builds[instance];
        while fold.offset() < state.log.len() as u64 {
            let next = fold.offset() + 1;
            if next >= state.first {
                if fold.apply(next, &state.log[next as usize - 1]).is_err() {
                    return build < NEWEST_SCHEMA;
                }
                continue;
            }
            let snapshot = state
                .snapshot
                .as_ref()
                .map(|(_, bytes)| Fold::from_snapshot_with(bytes, self.settings(build)));
            match snapshot {
                Some(Ok(other)) => {
                    if !fold.adopt(other) {
                        return false;
                    }
                }
                Some(Err(_)) => return build < NEWEST_SCHEMA,
                None => return false,
            }
        }
        true
    }

    fn instance_steps(&self, state: &State, instance: usize, steps: &mut Vec<(String, State)>) {
        let fold = &state.folds[instance];
        let next = (fold.offset() + 1).max(state.first);
        for (label, offset) in [("read", next), ("read again", state.first)] {
            let Some(text) = state.log.get(offset as usize - 1) else {
                continue;
            };
            let mut after = state.clone();
            if after.folds[instance].apply(offset, text).is_ok() {
                steps.push((format!("{label} {offset} at {instance}"), after));
            }
        }
        for peer in (0..state.folds.len()).filter(|peer| *peer != instance) {
            if state.folds[peer].offset() <= fold.offset() && self.guards.monotonic {
                continue;
            }
            if let Some(after) = self.adopt(state, instance, &state.folds[peer].snapshot()) {
                steps.push((format!("{instance} adopts the fold of {peer}"), after));
            }
        }
        if self.retention == 0 {
            return;
        }
        let adopted = state
            .snapshot
            .as_ref()
            .and_then(|(_, bytes)| self.adopt(state, instance, bytes));
        steps.extend(adopted.map(|after| (format!("{instance} adopts the snapshot"), after)));
        if fold.offset() > state.covered() {
            let mut after = state.clone();
            after.snapshot = Some((fold.offset(), fold.snapshot()));
            steps.push((format!("{instance} writes a snapshot"), after));
        }
    }

    fn operator_steps(&self, state: &State, operator: usize, steps: &mut Vec<(String, State)>) {
        match state.operators[operator] {
            Phase::Idle => {
                for instance in 0..state.folds.len() {
                    let mut next = state.clone();
                    let base = state.folds[instance].revision(Kind::Domain, NAME);
                    next.operators[operator] = Phase::Looked(base);
                    steps.push((format!("operator {operator} looks at {instance}"), next));
                }
            }
            Phase::Looked(base) => {
                let mut next = state.clone();
                next.operators[operator] = Phase::Sent(base);
                next.append(self.wishes[operator].entry(base), base);
                steps.push((format!("operator {operator} publishes"), next));
            }
            Phase::Sent(base) if state.repeats < self.repeats => {
                let mut next = state.clone();
                next.repeats += 1;
                next.append(self.wishes[operator].entry(base), base);
                steps.push((format!("operator {operator} repeats"), next));
            }
            Phase::Sent(_) => {}
        }
    }

    fn settings(&self, newest_schema: u64) -> Settings {
        Settings {
            guards: self.guards,
            newest_schema,
        }
    }
}

impl Spec for Record {
    type State = State;

    fn start(&self) -> State {
        let reference = Fold::new(self.settings(NEWEST_SCHEMA));
        State {
            deaths: 0,
            fault: None,
            first: 1,
            folds: self
                .builds
                .iter()
                .map(|build| Fold::new(self.settings(*build)))
                .collect(),
            highest: vec![0; self.builds.len()],
            history: vec![reference.snapshot()],
            last: 0,
            log: Vec::new(),
            operators: vec![Phase::Idle; self.wishes.len()],
            reference,
            repeats: 0,
            snapshot: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for operator in 0..self.wishes.len() {
            self.operator_steps(state, operator, &mut steps);
        }
        for instance in 0..state.folds.len() {
            self.instance_steps(state, instance, &mut steps);
            if state.deaths < self.deaths && state.folds[instance].offset() > 0 {
                let mut next = state.clone();
                next.deaths += 1;
                next.folds[instance] = Fold::new(self.settings(self.builds[instance]));
                next.highest[instance] = 0;
                steps.push((format!("restart of {instance}"), next));
            }
        }
        let expires = state.first <= self.retention && state.first <= state.log.len() as u64;
        if expires && (state.covered() >= state.first || !self.covered) {
            let mut next = state.clone();
            next.first += 1;
            steps.push(("retention".into(), next));
        }
        for (_, next) in &mut steps {
            next.watch();
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(fault) = state.fault {
            return Some(fault.into());
        }
        for (instance, fold) in state.folds.iter().enumerate() {
            if state.history.get(fold.offset() as usize) != Some(&fold.snapshot()) {
                return Some("instances at one offset differ".into());
            }
            if !self.catches_up(state, instance) {
                return Some("an accepted record does not reach a connected instance".into());
            }
        }
        None
    }
}

impl State {
    fn append(&mut self, text: String, base: u64) {
        let offset = self.log.len() as u64 + 1;
        if let Ok(Verdict::Accepted { .. }) = self.reference.apply(offset, &text) {
            if base != self.last {
                self.fault =
                    Some("an accepted change is reverted by an operator that has not seen it");
            }
            self.last = offset;
        }
        self.history.push(self.reference.snapshot());
        self.log.push(text);
    }

    /// Offset up to which a snapshot covers the log.
    fn covered(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |(offset, _)| *offset)
    }

    fn watch(&mut self) {
        for (fold, highest) in self.folds.iter().zip(&mut self.highest) {
            if fold.offset() < *highest {
                self.fault = Some("an offset in force goes back");
            }
            *highest = fold.offset();
        }
    }
}

impl Wish {
    fn entry(self, base: u64) -> String {
        let (schema, body) = match self {
            Wish::In => (2, r#"{"service":{"in":true}}"#),
            Wish::Nothing => (1, "null"),
            Wish::Out => (1, r#"{"in_service":false}"#),
        };
        format!(
            r#"{{"schema":{schema},"kind":"domain","name":"{NAME}","base":{base},"body":{body}}}"#
        )
    }
}

/// Searches the specifications and their mutants.
pub fn specifications() -> Vec<(String, Outcome)> {
    let base = Record {
        builds: vec![NEWEST_SCHEMA; 2],
        covered: true,
        deaths: 0,
        guards: Guards::default(),
        repeats: 0,
        retention: 0,
        wishes: vec![Wish::Out, Wish::In],
    };
    let race = Record {
        repeats: 1,
        wishes: vec![Wish::Out, Wish::In, Wish::Nothing],
        ..base.clone()
    };
    let schemas = Record {
        builds: vec![2, 2, 1],
        wishes: vec![Wish::Out, Wish::In, Wish::Out],
        ..base.clone()
    };
    let retention = Record {
        deaths: 1,
        repeats: 1,
        retention: 2,
        ..base
    };
    let job = |spec: &Record, change: fn(&mut Record)| -> Job {
        let mut spec = spec.clone();
        change(&mut spec);
        Box::new(move || search(&spec, BOUND))
    };
    parallel(vec![
        ("record race", job(&race, |_| {})),
        ("record schemas", job(&schemas, |_| {})),
        ("record retention", job(&retention, |_| {})),
        (
            "record race, mutant base",
            job(&race, |spec| spec.guards.base = false),
        ),
        (
            "record race, mutant forward",
            job(&race, |spec| spec.guards.monotonic = false),
        ),
        (
            "record race, mutant sequence",
            job(&race, |spec| spec.guards.sequence = false),
        ),
        (
            "record race, mutant tombstone",
            job(&race, |spec| spec.guards.tombstone = false),
        ),
        (
            "record schemas, mutant stop",
            job(&schemas, |spec| spec.guards.known_schema = false),
        ),
        (
            "record retention, mutant covered",
            job(&retention, |spec| spec.covered = false),
        ),
    ])
}
