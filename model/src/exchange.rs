//! Specification of how entry instances learn the state of a topic: from the log, from log readers that lag behind, and
//! from each other, also after a restart without memory.

use jujubehook::entry::{Fold, Guards, Record};

use crate::{search, Case, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 2_000_000;

const KEYS: [&str; 2] = ["a", "b"];

/// Entry instances that read one topic.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Number of instances.
    pub instances: usize,
    /// Guards of the folds.
    pub guards: Guards,
    /// Number of records that may be written.
    pub max_records: usize,
}

/// The log, and the fold of it that each instance has.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    folds: Vec<Fold>,
    log: Vec<Record>,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            instances: 2,
            guards: Guards::default(),
            max_records: 3,
        }
    }
}

impl Exchange {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, MAX_STATES)
    }

    fn write_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.log.len() == self.max_records {
            return;
        }
        for key in KEYS {
            for removal in [false, true] {
                let mut next = state.clone();
                let offset = state.log.len() as u64;
                next.log.push(Record {
                    key: key.into(),
                    offset,
                    value: (!removal).then(|| vec![offset as u8]),
                });
                let action = if removal { "remove" } else { "write" };
                steps.push((format!("{action} {key}"), next));
            }
        }
    }

    fn read_steps(&self, state: &State, instance: usize, steps: &mut Vec<(String, State)>) {
        let log_end = state.log.len();
        let fold = &state.folds[instance];
        if fold.is_known() && (fold.end() as usize) < log_end {
            let mut next = state.clone();
            let from = fold.end() as usize;
            for record in &state.log[from..] {
                next.folds[instance].apply(record.clone());
            }
            next.folds[instance].advance(log_end as u64);
            steps.push((format!("{instance} reads on"), next));
        }
        // A log reader that lags behind returns the state of any earlier end.
        for end in 0..=log_end {
            let mut next = state.clone();
            next.folds[instance].replace(compacted(&state.log, end), end as u64);
            steps.push((format!("{instance} reads all up to {end}"), next));
        }
    }

    fn fetch_steps(&self, state: &State, to: usize, steps: &mut Vec<(String, State)>) {
        for (from, source) in state.folds.iter().enumerate() {
            let receiver = &state.folds[to];
            let is_ahead =
                source.is_known() && (source.end() > receiver.end() || !receiver.is_known());
            if from == to || !is_ahead {
                continue;
            }
            let start = if receiver.is_known() {
                receiver.end()
            } else {
                0
            };
            let mut next = state.clone();
            let fold = &mut next.folds[to];
            match source.since(start) {
                Some(records) => {
                    for record in records {
                        fold.apply(record);
                    }
                    fold.advance(source.end());
                }
                None => {
                    fold.replace(source.state(), source.end());
                }
            }
            steps.push((format!("{to} fetches from {from}"), next));
        }
    }
}

impl Spec for Exchange {
    type State = State;

    fn start(&self) -> State {
        State {
            folds: vec![Fold::with(self.guards); self.instances],
            log: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.write_steps(state, &mut steps);
        for instance in 0..self.instances {
            self.read_steps(state, instance, &mut steps);
            self.fetch_steps(state, instance, &mut steps);
            let mut next = state.clone();
            next.folds[instance] = Fold::with(self.guards);
            steps.push((format!("{instance} restarts"), next));
        }
        steps
    }

    /// Each instance that knows the topic must have the values that the log had at the end of its fold.
    fn violation(&self, state: &State) -> Option<String> {
        for (instance, fold) in state.folds.iter().enumerate() {
            let end = fold.end() as usize;
            if !fold.is_known() {
                continue;
            }
            let records = compacted(&state.log, end);
            for key in KEYS {
                let record = records.iter().find(|record| record.key == key);
                if fold.value(key) != record.and_then(|record| record.value.as_deref()) {
                    return Some(format!("{instance} has an old {key} at {end}"));
                }
            }
        }
        None
    }
}

/// The newest record of each key among the first `end` records, without removed keys.
fn compacted(log: &[Record], end: usize) -> Vec<Record> {
    let newest = |key: &&str| log[..end].iter().rfind(|record| record.key == **key);
    let records = KEYS.iter().filter_map(newest);
    records
        .filter(|record| record.value.is_some())
        .cloned()
        .collect()
}

/// The specifications with all guards, and a mutant without each guard.
pub fn cases() -> Vec<Case> {
    let real = |name: &str, spec: Exchange| Case::real(name, move || spec.run());
    let mutant = |name: &str, guards: Guards| {
        let spec = Exchange {
            guards,
            ..Exchange::default()
        };
        Case::mutant(name, move || spec.run())
    };
    let all = Guards::default();
    vec![
        real("exchange, two instances", Exchange::default()),
        real(
            "exchange, three instances",
            Exchange {
                instances: 3,
                max_records: 2,
                ..Exchange::default()
            },
        ),
        mutant(
            "exchange without complete",
            Guards {
                complete: false,
                ..all
            },
        ),
        mutant(
            "exchange without newest",
            Guards {
                newest: false,
                ..all
            },
        ),
        mutant(
            "exchange without stale",
            Guards {
                stale: false,
                ..all
            },
        ),
    ]
}
