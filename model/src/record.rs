//! Specification of the record protocol.
//!
//! Operators change one record concurrently, in both schema versions, and repeat an entry whose reply was lost.
//! Instances read the log at their own pace, adopt the fold of any peer or a snapshot, get entries twice, and restart
//! with an empty fold; one of them may be an older build that reads schema 1 only. Entries expire from the log. An
//! instance that is cut off is one that takes no step.

use jujubehook::record::{Fold, Guards, Kind, Settings, Verdict, NEWEST_SCHEMA};

use crate::claim::{run_in_parallel, Search};
use crate::{search, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 400_000;

const DOMAIN: &str = "n";

/// Change that an operator publishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Deletes the record.
    Delete,
    /// Puts the domain in service, with schema 2.
    InService,
    /// Takes the domain out of service, with schema 1.
    OutOfService,
}

/// Instances and operators that share one log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Change of each operator.
    pub changes: Vec<Change>,
    /// Whether entries expire only after a snapshot covers them; off in a mutant.
    pub expire_covered: bool,
    /// Guards of the folds.
    pub guards: Guards,
    /// Number of entries that may expire.
    pub max_expired: u64,
    /// Number of entries that may be repeated after a lost reply.
    pub max_repeats: u8,
    /// Number of restarts that may occur.
    pub max_restarts: u8,
    /// Newest schema that each instance reads.
    pub newest_schemas: Vec<u64>,
}

/// Progress of an operator, with the base revision of its change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Published(u64),
    Read(u64),
}

/// State of the instances, the operators and the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// Snapshot of the reference fold at each offset.
    expected: Vec<Vec<u8>>,
    /// Offset of the oldest entry that has not expired.
    first_offset: u64,
    folds: Vec<Fold>,
    /// Highest offset that each instance has applied since its last restart.
    highest_offsets: Vec<u64>,
    /// Offset of the last accepted change of the record.
    last_change: u64,
    log: Vec<String>,
    operators: Vec<Phase>,
    /// Fold that has applied every entry of the log.
    reference: Fold,
    repeats: u8,
    restarts: u8,
    /// Offset and bytes of the newest snapshot.
    snapshot: Option<(u64, Vec<u8>)>,
    /// Violation that occurred in a step, if any.
    violation: Option<&'static str>,
}

impl Record {
    /// The state after `instance` adopted the fold in `bytes`, if it did.
    fn adopt(&self, state: &State, instance: usize, bytes: &[u8]) -> Option<State> {
        let other =
            Fold::from_snapshot_with(bytes, self.settings(self.newest_schemas[instance])).ok()?;
        let mut next = state.clone();
        next.folds[instance].adopt(other).then_some(next)
    }

    /// Whether the instance can reach the end of the log, or an entry whose schema its build does not read.
    fn catches_up(&self, state: &State, instance: usize) -> bool {
        let mut fold = state.folds[instance].clone();
        let newest_schema = self.newest_schemas[instance];
        while fold.offset() < state.log.len() as u64 {
            let next = fold.offset() + 1;
            if next >= state.first_offset {
                if fold.apply(next, &state.log[next as usize - 1]).is_err() {
                    return newest_schema < NEWEST_SCHEMA;
                }
                continue;
            }
            let snapshot = state
                .snapshot
                .as_ref()
                .map(|(_, bytes)| Fold::from_snapshot_with(bytes, self.settings(newest_schema)));
            match snapshot {
                Some(Ok(other)) => {
                    if !fold.adopt(other) {
                        return false;
                    }
                }
                Some(Err(_)) => return newest_schema < NEWEST_SCHEMA,
                None => return false,
            }
        }
        true
    }

    fn instance_steps(&self, state: &State, instance: usize, steps: &mut Vec<(String, State)>) {
        let fold = &state.folds[instance];
        let next = (fold.offset() + 1).max(state.first_offset);
        for (label, offset) in [("read", next), ("read again", state.first_offset)] {
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
        if self.max_expired == 0 {
            return;
        }
        let adopted = state
            .snapshot
            .as_ref()
            .and_then(|(_, bytes)| self.adopt(state, instance, bytes));
        steps.extend(adopted.map(|after| (format!("{instance} adopts the snapshot"), after)));
        if fold.offset() > state.snapshot_offset() {
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
                    let base = state.folds[instance].revision(Kind::Domain, DOMAIN);
                    next.operators[operator] = Phase::Read(base);
                    steps.push((format!("operator {operator} looks at {instance}"), next));
                }
            }
            Phase::Read(base) => {
                let mut next = state.clone();
                next.operators[operator] = Phase::Published(base);
                next.append(self.changes[operator].entry(base), base);
                steps.push((format!("operator {operator} publishes"), next));
            }
            Phase::Published(base) if state.repeats < self.max_repeats => {
                let mut next = state.clone();
                next.repeats += 1;
                next.append(self.changes[operator].entry(base), base);
                steps.push((format!("operator {operator} repeats"), next));
            }
            Phase::Published(_) => {}
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
            expected: vec![reference.snapshot()],
            first_offset: 1,
            folds: self
                .newest_schemas
                .iter()
                .map(|schema| Fold::new(self.settings(*schema)))
                .collect(),
            highest_offsets: vec![0; self.newest_schemas.len()],
            last_change: 0,
            log: Vec::new(),
            operators: vec![Phase::Idle; self.changes.len()],
            reference,
            repeats: 0,
            restarts: 0,
            snapshot: None,
            violation: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for operator in 0..self.changes.len() {
            self.operator_steps(state, operator, &mut steps);
        }
        for instance in 0..state.folds.len() {
            self.instance_steps(state, instance, &mut steps);
            if state.restarts < self.max_restarts && state.folds[instance].offset() > 0 {
                let mut next = state.clone();
                next.restarts += 1;
                next.folds[instance] = Fold::new(self.settings(self.newest_schemas[instance]));
                next.highest_offsets[instance] = 0;
                steps.push((format!("restart of {instance}"), next));
            }
        }
        let may_expire =
            state.first_offset <= self.max_expired && state.first_offset <= state.log.len() as u64;
        if may_expire && (state.snapshot_offset() >= state.first_offset || !self.expire_covered) {
            let mut next = state.clone();
            next.first_offset += 1;
            steps.push(("retention".into(), next));
        }
        for (_, next) in &mut steps {
            next.check_offsets();
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(violation) = state.violation {
            return Some(violation.into());
        }
        for (instance, fold) in state.folds.iter().enumerate() {
            if state.expected.get(fold.offset() as usize) != Some(&fold.snapshot()) {
                return Some("the state of an instance differs from the log at its offset".into());
            }
            if !self.catches_up(state, instance) {
                return Some("an accepted record does not reach a connected instance".into());
            }
        }
        None
    }
}

impl State {
    /// Appends an entry and applies it to the reference fold.
    fn append(&mut self, text: String, base: u64) {
        let offset = self.log.len() as u64 + 1;
        if let Ok(Verdict::Accepted { .. }) = self.reference.apply(offset, &text) {
            if base != self.last_change {
                self.violation =
                    Some("an operator overwrites an accepted change that it has not seen");
            }
            self.last_change = offset;
        }
        self.expected.push(self.reference.snapshot());
        self.log.push(text);
    }

    /// Last offset that the snapshot covers; 0 without a snapshot.
    fn snapshot_offset(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |(offset, _)| *offset)
    }

    /// Detects a fold whose offset has decreased.
    fn check_offsets(&mut self) {
        for (fold, highest) in self.folds.iter().zip(&mut self.highest_offsets) {
            if fold.offset() < *highest {
                self.violation = Some("the offset of an instance decreases");
            }
            *highest = fold.offset();
        }
    }
}

impl Change {
    fn entry(self, base: u64) -> String {
        let (schema, body) = match self {
            Change::InService => (2, r#"{"service":{"in":true}}"#),
            Change::Delete => (1, "null"),
            Change::OutOfService => (1, r#"{"in_service":false}"#),
        };
        format!(
            r#"{{"schema":{schema},"kind":"domain","name":"{DOMAIN}","base":{base},"body":{body}}}"#
        )
    }
}

/// Searches the specifications and their mutants; returns each name with its outcome.
pub fn specifications() -> Vec<(String, Outcome)> {
    let base = Record {
        changes: vec![Change::OutOfService, Change::InService],
        expire_covered: true,
        guards: Guards::default(),
        max_expired: 0,
        max_repeats: 0,
        max_restarts: 0,
        newest_schemas: vec![NEWEST_SCHEMA; 2],
    };
    let race = Record {
        changes: vec![Change::OutOfService, Change::InService, Change::Delete],
        max_repeats: 1,
        ..base.clone()
    };
    let schemas = Record {
        changes: vec![
            Change::OutOfService,
            Change::InService,
            Change::OutOfService,
        ],
        newest_schemas: vec![2, 2, 1],
        ..base.clone()
    };
    let retention = Record {
        max_expired: 2,
        max_repeats: 1,
        max_restarts: 1,
        ..base
    };
    let search_of = |spec: &Record, modify: fn(&mut Record)| -> Search {
        let mut spec = spec.clone();
        modify(&mut spec);
        Box::new(move || search(&spec, MAX_STATES))
    };
    run_in_parallel(vec![
        ("record race", search_of(&race, |_| {})),
        ("record schemas", search_of(&schemas, |_| {})),
        ("record retention", search_of(&retention, |_| {})),
        (
            "record race, mutant base",
            search_of(&race, |spec| spec.guards.base = false),
        ),
        (
            "record race, mutant forward",
            search_of(&race, |spec| spec.guards.monotonic = false),
        ),
        (
            "record race, mutant sequence",
            search_of(&race, |spec| spec.guards.sequence = false),
        ),
        (
            "record race, mutant tombstone",
            search_of(&race, |spec| spec.guards.tombstone = false),
        ),
        (
            "record schemas, mutant stop",
            search_of(&schemas, |spec| spec.guards.known_schema = false),
        ),
        (
            "record retention, mutant covered",
            search_of(&retention, |spec| spec.expire_covered = false),
        ),
    ])
}
