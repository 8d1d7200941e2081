//! Specification of how entry instances learn the state of a topic: from the log, from log readers that lag behind, and
//! from each other, also after a restart without memory, and while the log comes back from an older copy of itself.

use jujubehook::entry::{Fold, Guards, Position, Record};

use crate::{search, Case, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 2_000_000;

/// The values of the first key have an order, and it is never removed.
const KEYS: [&str; 2] = ["a", "b"];

/// The key whose values have an order.
const RANKED: &str = KEYS[0];

/// Entry instances that read one topic.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Number of instances.
    pub instances: usize,
    /// Guards of the folds.
    pub guards: Guards,
    /// Number of records that may be written.
    pub max_records: usize,
    /// Number of times that the log may come back from an older copy. What it lost of the ranked key is written again.
    pub restores: usize,
}

/// The log, and the fold of it that each instance has.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    folds: Vec<Fold>,
    /// The log's histories, the current one last. Instances may still know an earlier one.
    logs: Vec<Vec<Record>>,
    /// Offset from which on the records of the current history are not of the copy.
    own: usize,
    /// Highest order that each instance had in force.
    ranks: Vec<u64>,
    /// Number of values written.
    written: u64,
    /// Highest order that was written.
    version: u64,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            instances: 2,
            guards: Guards::default(),
            max_records: 3,
            restores: 0,
        }
    }
}

impl Exchange {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, MAX_STATES)
    }

    fn write_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.written == self.max_records as u64 {
            return;
        }
        for key in KEYS {
            for removal in [false, true] {
                let is_ranked = key == RANKED && self.restores > 0;
                if removal && is_ranked {
                    continue;
                }
                let mut next = state.clone();
                next.written += 1;
                let rank = is_ranked.then_some((next.written, 0));
                next.version = rank.map_or(next.version, |(version, _)| version);
                next.append(key, rank, (!removal).then(|| vec![next.written as u8]));
                let action = if removal { "remove" } else { "write" };
                steps.push((format!("{action} {key}"), next));
            }
        }
    }

    /// The log comes back from a copy, and the operator writes again what it lost of the ranked key.
    fn restore_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let log = state.log();
        if state.logs.len() <= self.restores {
            for end in 0..log.len() {
                let mut next = state.clone();
                let mut copy = log[..end].to_vec();
                for record in &mut copy {
                    record.position.era += 1;
                }
                next.logs.push(copy);
                next.own = end;
                steps.push((format!("the log comes back up to {end}"), next));
            }
        }
        let newest = log.iter().rfind(|record| record.key == RANKED);
        let rank = newest.and_then(|record| record.rank);
        if state.version > 0 && rank < Some((state.version, 0)) {
            let mut next = state.clone();
            let version = state.version;
            next.append(RANKED, Some((version, 0)), Some(vec![version as u8]));
            steps.push((format!("write {RANKED} again"), next));
        }
    }

    fn read_steps(&self, state: &State, instance: usize, steps: &mut Vec<(String, State)>) {
        let (era, log) = (state.era(), state.log());
        let log_end = log.len();
        let fold = &state.folds[instance];
        // A partial read does not know the era beforehand. One from behind the end of the log fails.
        let from = fold.end().offset as usize;
        let is_other = fold.end().era != era;
        if fold.is_known() && (from < log_end || (is_other && from == log_end)) {
            let mut next = state.clone();
            for record in &log[from..] {
                next.folds[instance].apply(record.clone());
            }
            next.folds[instance].advance(Position::new(era, log_end as u64));
            steps.push((format!("{instance} reads on"), next));
        }
        // A log reader that lags behind returns the state of any earlier end, but never less than the copy.
        let first = if era == 0 { 0 } else { state.own };
        for end in first..=log_end {
            let mut next = state.clone();
            let position = Position::new(era, end as u64);
            next.folds[instance].replace(compacted(log, end), position);
            steps.push((format!("{instance} reads all up to {end}"), next));
        }
        if !fold.carried().is_empty() {
            let mut next = state.clone();
            next.folds[instance].settle(|record| record.rank.is_some());
            steps.push((format!("{instance} carries no longer"), next));
        }
    }

    fn fetch_steps(&self, state: &State, to: usize, steps: &mut Vec<(String, State)>) {
        for (from, source) in state.folds.iter().enumerate() {
            let receiver = &state.folds[to];
            let is_ahead = source.end() > receiver.end()
                || !receiver.is_known()
                || source.rank() > receiver.rank();
            if from == to || !source.is_known() || !is_ahead {
                continue;
            }
            let start = match receiver.is_known() {
                true => receiver.end(),
                false => Position::default(),
            };
            let mut next = state.clone();
            let fold = &mut next.folds[to];
            let mut carried = source.carried().to_vec();
            let era = fold.end().era;
            match source.since(start) {
                Some(records) => {
                    for record in records {
                        fold.apply(record);
                    }
                    fold.advance(source.end());
                }
                None if source.end().era < era => carried.extend(source.state()),
                None => {
                    fold.replace(source.state(), source.end());
                }
            }
            fold.recall(carried);
            steps.push((format!("{to} fetches from {from}"), next));
        }
    }
}

impl State {
    /// The current history of the log.
    fn log(&self) -> &[Record] {
        self.logs.last().map_or(&[], Vec::as_slice)
    }

    /// Number of the current history.
    fn era(&self) -> u64 {
        self.logs.len() as u64 - 1
    }

    fn append(&mut self, key: &str, rank: Option<(u64, u64)>, value: Option<Vec<u8>>) {
        let position = Position::new(self.era(), self.log().len() as u64);
        let record = Record {
            key: key.into(),
            position,
            rank,
            value,
        };
        if let Some(log) = self.logs.last_mut() {
            log.push(record);
        }
    }

    /// Notes what came into force.
    fn note_ranks(&mut self) {
        for (rank, fold) in self.ranks.iter_mut().zip(&self.folds) {
            *rank = (*rank).max(fold.rank().map_or(0, |(version, _)| version));
        }
    }
}

impl Spec for Exchange {
    type State = State;

    fn start(&self) -> State {
        State {
            folds: vec![Fold::with(self.guards); self.instances],
            logs: vec![Vec::new()],
            own: 0,
            ranks: vec![0; self.instances],
            version: 0,
            written: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.write_steps(state, &mut steps);
        self.restore_steps(state, &mut steps);
        for instance in 0..self.instances {
            self.read_steps(state, instance, &mut steps);
            self.fetch_steps(state, instance, &mut steps);
            let mut next = state.clone();
            next.folds[instance] = Fold::with(self.guards);
            next.ranks[instance] = 0;
            steps.push((format!("{instance} restarts"), next));
        }
        for (_, next) in &mut steps {
            next.note_ranks();
        }
        steps
    }

    /// Each instance that knows the topic must have the values that the log had at the end of its fold. A ranked value
    /// in force must never become older, also if the log does. Once the log has the last one, so must each instance that
    /// has read the log to its end. Values without a rank must be those of the log when nothing is carried any more.
    fn violation(&self, state: &State) -> Option<String> {
        for (instance, fold) in state.folds.iter().enumerate() {
            let end = fold.end();
            if !fold.is_known() {
                continue;
            }
            let log = state.logs.get(end.era as usize)?;
            if end.offset as usize > log.len() {
                return Some(format!("{instance} is beyond the log at {end}"));
            }
            let records = compacted(log, end.offset as usize);
            let mut settled = fold.clone();
            settled.settle(|record| record.rank.is_some());
            for key in KEYS {
                let record = records.iter().find(|record| record.key == key);
                let value = record.and_then(|record| record.value.as_deref());
                let is_ranked = key == RANKED && self.restores > 0;
                if fold.recorded(key) != value || (!is_ranked && settled.value(key) != value) {
                    return Some(format!("{instance} has an old {key} at {end}"));
                }
            }
            let rank = fold.value(RANKED).and_then(|value| value.first());
            if self.restores > 0 && rank.map_or(0, |rank| u64::from(*rank)) < state.ranks[instance]
            {
                return Some(format!(
                    "{instance} goes back to an older {RANKED} at {end}"
                ));
            }
            let newest = compacted(state.log(), state.log().len());
            let last = newest
                .iter()
                .find(|record| record.rank == Some((state.version, 0)));
            let has_read = end == Position::new(state.era(), state.log().len() as u64);
            if last.is_some_and(|last| has_read && fold.value(RANKED) != last.value.as_deref()) {
                return Some(format!("{instance} has read the log, but not {RANKED}"));
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
    let restored = |guards: Guards| Exchange {
        guards,
        restores: 1,
        ..Exchange::default()
    };
    let all = Guards::default();
    vec![
        real("exchange, one restore", restored(all)),
        real(
            "exchange, two restores",
            Exchange {
                max_records: 2,
                restores: 2,
                ..Exchange::default()
            },
        ),
        Case::mutant("exchange without era", move || {
            restored(Guards { era: false, ..all }).run()
        }),
        Case::mutant("exchange without carry", move || {
            restored(Guards {
                carry: false,
                ..all
            })
            .run()
        }),
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
