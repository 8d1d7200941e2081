use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A specification: start state, steps and invariant.
pub trait Spec {
    /// A state of the whole system: instances, messages in flight, environment.
    type State: Clone + Eq + Hash;

    /// The start state.
    fn start(&self) -> Self::State;

    /// All steps that are possible in `state`, each with a label for the counterexample.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Describes what is violated in `state`, if anything.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of an exhaustive search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Labels of the shortest path to a violation and its description, if there is one.
    pub counterexample: Option<(Vec<String>, String)>,
    /// Length of the longest shortest path.
    pub depth: usize,
    /// Distinct states visited.
    pub states: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "states={} depth={}", self.states, self.depth)?;
        match &self.counterexample {
            None => write!(f, " violation=none"),
            Some((path, what)) => write!(f, " violation=\"{what}\" path=\"{}\"", path.join("; ")),
        }
    }
}

/// Searches all reachable states of `spec` breadth first.
///
/// # Panics
/// Panics if more than `bound` states are reached, since the search would then not be exhaustive.
pub fn search<S: Spec>(spec: &S, bound: usize) -> Outcome {
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
            assert!(depths.len() <= bound, "more than {bound} states");
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
