//! Specification of how entry instances come to know a topic: from the log, from readers of the log that lag behind,
//! from each other, and anew after a restart.

use jujubehook::entry::{Fold, Guards, Record};

use crate::{search, Case, Outcome, Spec};

/// Most states that a search may reach.
const BOUND: usize = 2_000_000;

const KEYS: [&str; 2] = ["a", "b"];

/// A specification.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Number of instances.
    pub count: usize,
    /// Guards of the folds.
    pub guards: Guards,
    /// Records that are written in total.
    pub writes: usize,
}

/// The log, and what each instance knows of it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    folds: Vec<Fold>,
    log: Vec<Record>,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            count: 2,
            guards: Guards::default(),
            writes: 3,
        }
    }
}

impl Exchange {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, BOUND)
    }

    fn writes(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.log.len() == self.writes {
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
                let what = if removal { "remove" } else { "write" };
                steps.push((format!("{what} {key}"), next));
            }
        }
    }

    fn reads(&self, state: &State, at: usize, steps: &mut Vec<(String, State)>) {
        let end = state.log.len();
        let fold = &state.folds[at];
        if fold.is_known() && (fold.end() as usize) < end {
            let mut next = state.clone();
            let from = fold.end() as usize;
            for record in &state.log[from..] {
                next.folds[at].apply(record.clone());
            }
            next.folds[at].advance(end as u64);
            steps.push((format!("{at} reads on"), next));
        }
        // A reader of the log may lag behind.
        for end in 0..=end {
            let mut next = state.clone();
            next.folds[at].replace(held(&state.log, end), end as u64);
            steps.push((format!("{at} reads all up to {end}"), next));
        }
    }

    fn fetches(&self, state: &State, to: usize, steps: &mut Vec<(String, State)>) {
        for (from, giver) in state.folds.iter().enumerate() {
            let taker = &state.folds[to];
            let is_ahead = giver.is_known() && (giver.end() > taker.end() || !taker.is_known());
            if from == to || !is_ahead {
                continue;
            }
            let start = if taker.is_known() { taker.end() } else { 0 };
            let mut next = state.clone();
            let fold = &mut next.folds[to];
            match giver.since(start) {
                Some(records) => {
                    for record in records {
                        fold.apply(record);
                    }
                    fold.advance(giver.end());
                }
                None => {
                    fold.replace(giver.state(), giver.end());
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
            folds: vec![Fold::with(self.guards); self.count],
            log: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.writes(state, &mut steps);
        for at in 0..self.count {
            self.reads(state, at, &mut steps);
            self.fetches(state, at, &mut steps);
            let mut next = state.clone();
            next.folds[at] = Fold::with(self.guards);
            steps.push((format!("{at} restarts"), next));
        }
        steps
    }

    /// Each instance that knows the topic holds what the log held at the position that it states.
    fn violation(&self, state: &State) -> Option<String> {
        for (at, fold) in state.folds.iter().enumerate() {
            let end = fold.end() as usize;
            if !fold.is_known() {
                continue;
            }
            let records = held(&state.log, end);
            for key in KEYS {
                let record = records.iter().find(|record| record.key == key);
                if fold.value(key) != record.and_then(|record| record.value.as_deref()) {
                    return Some(format!("{at} has an old {key} at {end}"));
                }
            }
        }
        None
    }
}

/// What the first `end` records amount to, without removed keys.
fn held(log: &[Record], end: usize) -> Vec<Record> {
    let newest = |key: &&str| log[..end].iter().rfind(|record| record.key == **key);
    let records = KEYS.iter().filter_map(newest);
    records
        .filter(|record| record.value.is_some())
        .cloned()
        .collect()
}

/// The specification with all guards, and a mutant without each.
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
                count: 3,
                writes: 2,
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
