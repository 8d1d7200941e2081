use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A state machine with an invariant that must hold in every reachable state.
pub trait Spec {
    /// A state of the whole system: instances, messages in flight, environment.
    type State: Clone + Eq + Hash;

    /// The start state.
    fn start(&self) -> Self::State;

    /// All steps that are possible in `state`, each with a label for the counterexample.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Describes how `state` violates the invariant, if it does.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of an exhaustive search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Labels of the steps on a shortest path to a violation, and the description of that violation.
    pub counterexample: Option<(Vec<String>, String)>,
    /// Largest number of steps from the start state to a visited state, by shortest paths.
    pub depth: usize,
    /// Number of distinct states visited.
    pub states: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "states={} depth={}", self.states, self.depth)?;
        match &self.counterexample {
            None => write!(f, " violation=none"),
            Some((path, violation)) => {
                write!(f, " violation=\"{violation}\" path=\"{}\"", path.join("; "))
            }
        }
    }
}

/// Searches the reachable states of `spec` breadth first, up to the first violation.
///
/// # Panics
/// Panics if more than `max_states` states are reached, since the search would then not be exhaustive.
pub fn search<S: Spec>(spec: &S, max_states: usize) -> Outcome {
    let depths = RefCell::new(HashMap::new());
    let depth = Cell::new(0);
    let start = spec.start();
    depths.borrow_mut().insert(start.clone(), 0);
    let path = bfs(
        &start,
        |state| {
            let mut depths = depths.borrow_mut();
            let next = depths.get(state).copied().unwrap_or_default() + 1;
            let mut successors = Vec::new();
            for (_, successor) in spec.steps(state) {
                depths.entry(successor.clone()).or_insert_with(|| {
                    depth.set(depth.get().max(next));
                    next
                });
                successors.push(successor);
            }
            assert!(depths.len() <= max_states, "more than {max_states} states");
            successors
        },
        |state| spec.violation(state).is_some(),
    );
    let states = depths.borrow().len();
    Outcome {
        counterexample: path.map(|path| explain(spec, &path)),
        depth: depth.get(),
        states,
    }
}

/// Returns the step labels along `path` and the violation at its end.
fn explain<S: Spec>(spec: &S, path: &[S::State]) -> (Vec<String>, String) {
    let labels = path
        .windows(2)
        .filter_map(|pair| {
            spec.steps(&pair[0])
                .into_iter()
                .find(|(_, successor)| *successor == pair[1])
                .map(|(label, _)| label)
        })
        .collect();
    let violation = path.last().and_then(|state| spec.violation(state));
    (labels, violation.unwrap_or_default())
}
