//! Specification of the ownership protocol: instances of one domain and one target.
//!
//! Time passes in units of one heartbeat interval. In each unit every running instance ticks, exchanges requests and
//! grants, and sends heartbeats; all of that arrives at once unless a fault is spent on it. All placements of up to
//! `budget` faults within `horizon` units are searched. Start of a stopped instance, end of a pause, healing of a cut
//! and arrival of a late message are possible at any time and cost nothing.

mod fault;
mod node;
mod specs;
mod world;

use std::time::Duration;

use jujubehook::owner::{candidate, Guards, Settings};

use crate::{search, Case, Outcome, Spec};
use node::{Node, Status};
use world::{Message, World};

pub use fault::Fault;

/// Most states that a search may reach.
const BOUND: usize = 2_000_000;
const IDS: [&str; 3] = ["a", "b", "c"];
/// Late messages that can be under way at a time.
const POOL: usize = 2;

/// Directions between instances that can be cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cuts {
    /// One direction between two instances at a time.
    OneWay,
    /// Both directions between two instances, for one pair at a time.
    Pair,
}

/// Kinds of faults that can occur.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Faults {
    /// An instance stops without notice.
    pub crash: bool,
    /// Directions of the network are cut.
    pub cut: Option<Cuts>,
    /// An instance starts its shutdown.
    pub leave: bool,
    /// Faults of single messages.
    pub messages: &'static [Fault],
    /// An instance does not run for a while.
    pub pause: bool,
}

/// A specification.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// Units that the joining instance has run in the start state.
    pub age: u32,
    /// Faults in total.
    pub budget: u8,
    /// Number of requests that the cold target takes; 0 leaves load out.
    pub cold_limit: u8,
    /// Number of instances.
    pub count: usize,
    /// Kinds of faults.
    pub faults: Faults,
    /// Instance with the highest rendezvous hash.
    pub first: usize,
    /// Guards of the protocol.
    pub guards: Guards,
    /// Units of time that are searched after the start state.
    pub horizon: u32,
    /// Instance that has just started in the start state; the others have run for a while.
    pub joins: Option<usize>,
    /// The lease in units.
    pub lease: u32,
    /// Whether an instance that takes over unplanned reads the target's streams first.
    pub reads: bool,
    /// Whether each side of a split may have an owner; otherwise one owner is allowed in total.
    pub sides: bool,
}

/// State of all instances, the network and the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    budget: u8,
    clock: u32,
    /// Directions that are cut, sorted.
    cuts: Vec<(usize, usize)>,
    /// Last incarnation that was given out.
    incarnation: u64,
    nodes: Vec<Node>,
    pool: Vec<Message>,
    /// Number of sides in the last units, as many as a lease has: a split has an effect until the instances that it
    /// separated have heard from each other again.
    sides: Vec<usize>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash: true,
            cut: Some(Cuts::OneWay),
            leave: true,
            messages: Fault::ALL,
            pause: true,
        }
    }
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            age: 0,
            budget: 2,
            cold_limit: 0,
            count: 2,
            faults: Faults::default(),
            first: 0,
            guards: Guards::default(),
            horizon: 14,
            joins: None,
            lease: 4,
            reads: true,
            sides: true,
        }
    }
}

impl Faults {
    /// No faults at all.
    pub const NONE: Self = Self {
        crash: false,
        cut: None,
        leave: false,
        messages: &[],
        pause: false,
    };
}

impl Ownership {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, BOUND)
    }

    /// Pairs of a sender and a receiver.
    fn directions(&self) -> Vec<(usize, usize)> {
        (0..self.count)
            .flat_map(|from| (0..self.count).map(move |to| (from, to)))
            .filter(|(from, to)| from != to)
            .collect()
    }

    fn settings(&self) -> Settings {
        let unit = Duration::from_secs(1);
        Settings {
            guards: self.guards,
            lease: unit * self.lease,
            margin: unit,
            pause: unit,
            resend: unit,
            suspicion: unit * 2,
        }
    }

    /// A target for which the instances rank `first`, then the others in order.
    fn target(&self) -> String {
        let mut ranked: Vec<String> = IDS.map(String::from).to_vec();
        let first = ranked.remove(self.first);
        ranked.insert(0, first);
        let is_ranked = |target: &String| {
            (0..2).all(|rank| candidate(target, &ranked[rank..]).as_ref() == Some(&ranked[rank]))
        };
        let mut names = (0..).map(|index| format!("t{index}"));
        names.find(is_ranked).unwrap_or_default()
    }

    /// Faults that can occur in `state`, without those of single messages.
    fn strike(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.count) {
            if state.nodes[index].status != Status::Up {
                continue;
            }
            let mut push = |label: &str, change: &dyn Fn(&mut World<'_>)| {
                let mut world = World::new(self, state, target, None);
                world.state.budget -= 1;
                change(&mut world);
                steps.push((format!("{label} {id}"), world.state));
            };
            if self.faults.crash {
                push("crash", &|world| world.crash(index));
            }
            if self.faults.pause {
                push("pause", &|world| {
                    world.state.nodes[index].status = Status::Paused
                });
            }
            if self.faults.leave {
                push("leave", &|world| world.leave(index));
            }
        }
        for cut in self.possible_cuts(state) {
            let mut next = state.clone();
            next.budget -= 1;
            next.cuts = cut;
            steps.push((format!("cut {:?}", next.cuts), next));
        }
    }

    fn possible_cuts(&self, state: &State) -> Vec<Vec<(usize, usize)>> {
        let Some(cuts) = self.faults.cut.filter(|_| state.cuts.is_empty()) else {
            return Vec::new();
        };
        let directions = self.directions().into_iter();
        match cuts {
            Cuts::OneWay => directions.map(|cut| vec![cut]).collect(),
            Cuts::Pair => directions
                .filter(|(from, to)| from < to)
                .map(|(from, to)| vec![(from, to), (to, from)])
                .collect(),
        }
    }

    /// Steps that cost no fault and take no time.
    fn recover(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.count) {
            let mut world = World::new(self, state, target, None);
            let label = match state.nodes[index].status {
                Status::Down => {
                    world.start(index);
                    "start"
                }
                Status::Paused => {
                    world.resume(index);
                    "resume"
                }
                Status::Up => continue,
            };
            steps.push((format!("{label} {id}"), world.state));
        }
        if !state.cuts.is_empty() {
            let mut next = state.clone();
            next.cuts.clear();
            steps.push(("heal".into(), next));
        }
        for index in 0..state.pool.len() {
            let mut world = World::new(self, state, target, None);
            let message = world.state.pool.remove(index);
            let label = format!("late {}", message.name());
            world.deliver(message);
            steps.push((label, world.state));
        }
    }

    /// The passing of a unit, without and with a fault of a message.
    fn pass(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        let mut world = World::new(self, state, target, None);
        world.pass();
        steps.push(("time".into(), world.state));
        if state.budget == 0 {
            return;
        }
        for (from, to) in self.directions() {
            for fault in self.faults.messages {
                let mut world = World::new(self, state, target, Some((*fault, from, to)));
                world.state.budget -= 1;
                world.pass();
                if world.used && world.state.pool.len() <= POOL {
                    let label = format!("time, {fault:?} {}{}", IDS[from], IDS[to]);
                    steps.push((label, world.state));
                }
            }
        }
    }
}

impl Spec for Ownership {
    type State = State;

    fn start(&self) -> State {
        let target = self.target();
        let empty = State {
            budget: self.budget,
            clock: 0,
            cuts: Vec::new(),
            incarnation: 0,
            nodes: Vec::new(),
            pool: Vec::new(),
            sides: Vec::new(),
        };
        let mut world = World::new(self, &empty, &target, None);
        world.warm_up();
        world.state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let target = self.target();
        let mut steps = Vec::new();
        if state.clock >= self.horizon {
            return steps;
        }
        self.pass(state, &target, &mut steps);
        self.recover(state, &target, &mut steps);
        if state.budget > 0 {
            self.strike(state, &target, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let target = self.target();
        let owners: Vec<&str> = (0..self.count)
            .filter(|index| state.nodes[*index].may_dispatch(&target, state.clock))
            .map(|index| IDS[index])
            .collect();
        let sides = match self.sides {
            true => state.sides.iter().copied().max().unwrap_or(1),
            false => 1,
        };
        if owners.len() > sides {
            return Some(format!("owners {owners:?} on {sides} sides"));
        }
        let load: usize = state.nodes.iter().map(|node| usize::from(node.own)).sum();
        let limit = usize::from(self.cold_limit) * sides;
        (load > limit).then(|| format!("load {load} on {sides} sides"))
    }
}

/// The specifications and their mutants.
pub fn cases() -> Vec<Case> {
    let mut cases = specs::real();
    cases.extend(specs::mutants());
    cases
}
