//! Specification of the ownership protocol: instances of one domain and one target.
//!
//! Time passes in units of one heartbeat interval. In each unit every running instance ticks, exchanges requests and
//! grants, and sends heartbeats; every message arrives immediately unless a fault affects it. All placements of up to
//! `max_faults` faults within `horizon` units are searched. The start of a stopped instance, the end of a pause, the
//! end of a cut and the arrival of a late message are possible at any time and do not count as faults.

mod fault;
mod instance;
mod specs;
mod transition;

use std::time::Duration;

use jujubehook::owner::{candidate, Guards, Settings};

use crate::{search, Case, Outcome, Spec};
use instance::{Instance, Status};
use transition::{Message, Transition};

pub use fault::Fault;

/// Upper bound on the states of one search.
const MAX_STATES: usize = 2_000_000;
const IDS: [&str; 3] = ["a", "b", "c"];
/// Maximum number of late messages at a time.
const MAX_LATE_MESSAGES: usize = 2;

/// Directions between instances that a cut affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cuts {
    /// One direction between two instances at a time.
    OneWay,
    /// Both directions between two instances, for one pair at a time.
    Pair,
}

/// Kinds of faults that a search includes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Faults {
    /// An instance stops without notice.
    pub crash: bool,
    /// Messages do not pass in some directions of the network.
    pub cut: Option<Cuts>,
    /// An instance begins to shut down.
    pub leave: bool,
    /// Faults of single messages.
    pub messages: &'static [Fault],
    /// An instance does not run for a while.
    pub pause: bool,
}

/// Instances of one domain that contend for the ownership of one target.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// Number of requests that the cold target takes; 0 leaves load out of the search.
    pub cold_limit: u8,
    /// Kinds of faults that can occur.
    pub faults: Faults,
    /// Instance with the highest rendezvous hash for the target.
    pub first_candidate: usize,
    /// Guards of the protocol.
    pub guards: Guards,
    /// Units of time that are searched after the start state.
    pub horizon: u32,
    /// Number of instances.
    pub instances: usize,
    /// Units that the joining instance has run in the start state.
    pub join_age: u32,
    /// Instance that has just started in the start state; the others have run for a while.
    pub joining: Option<usize>,
    /// The lease in units.
    pub lease: u32,
    /// Number of faults that may occur.
    pub max_faults: u8,
    /// Whether each side of a split may have an owner; otherwise one owner is allowed in total.
    pub owner_per_side: bool,
    /// Whether an instance first reads the target's stream list after a takeover that was not planned.
    pub reads_streams: bool,
}

/// State of all instances, the network and the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    clock: u32,
    /// Directions that are cut, sorted.
    cuts: Vec<(usize, usize)>,
    faults_left: u8,
    /// Last incarnation that an instance was started with.
    incarnation: u64,
    instances: Vec<Instance>,
    late_messages: Vec<Message>,
    /// Number of sides in each of the last units, for one lease: a split has an effect until the instances that it
    /// separated have received heartbeats of each other again.
    recent_sides: Vec<usize>,
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
            cold_limit: 0,
            faults: Faults::default(),
            first_candidate: 0,
            guards: Guards::default(),
            horizon: 14,
            instances: 2,
            join_age: 0,
            joining: None,
            lease: 4,
            max_faults: 2,
            owner_per_side: true,
            reads_streams: true,
        }
    }
}

impl Faults {
    /// No faults.
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
        search(self, MAX_STATES)
    }

    /// All pairs of a sender and a receiver.
    fn directions(&self) -> Vec<(usize, usize)> {
        (0..self.instances)
            .flat_map(|from| (0..self.instances).map(move |to| (from, to)))
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

    /// A target id whose rendezvous hash ranks `first_candidate` first, then the others in order.
    fn target(&self) -> String {
        let mut ranked: Vec<String> = IDS.map(String::from).to_vec();
        let first = ranked.remove(self.first_candidate);
        ranked.insert(0, first);
        let is_ranked = |target: &String| {
            (0..2).all(|rank| candidate(target, &ranked[rank..]).as_ref() == Some(&ranked[rank]))
        };
        let mut names = (0..).map(|index| format!("t{index}"));
        names.find(is_ranked).unwrap_or_default()
    }

    /// Faults that can occur in `state`, except those of single messages.
    fn fault_steps(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.instances) {
            if state.instances[index].status != Status::Up {
                continue;
            }
            let mut push = |label: &str, change: &dyn Fn(&mut Transition<'_>)| {
                let mut transition = Transition::new(self, state, target, None);
                transition.state.faults_left -= 1;
                change(&mut transition);
                steps.push((format!("{label} {id}"), transition.state));
            };
            if self.faults.crash {
                push("crash", &|transition| transition.crash(index));
            }
            if self.faults.pause {
                push("pause", &|transition| {
                    transition.state.instances[index].status = Status::Paused
                });
            }
            if self.faults.leave {
                push("leave", &|transition| transition.leave(index));
            }
        }
        for cut in self.possible_cuts(state) {
            let mut next = state.clone();
            next.faults_left -= 1;
            next.cuts = cut;
            steps.push((format!("cut {:?}", next.cuts), next));
        }
    }

    /// Sets of directions that can be cut; there is one cut at a time.
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

    /// Recoveries and late deliveries, which are not faults and take no time.
    fn recovery_steps(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.instances) {
            let mut transition = Transition::new(self, state, target, None);
            let label = match state.instances[index].status {
                Status::Down => {
                    transition.start(index);
                    "start"
                }
                Status::Paused => {
                    transition.resume(index);
                    "resume"
                }
                Status::Up => continue,
            };
            steps.push((format!("{label} {id}"), transition.state));
        }
        if !state.cuts.is_empty() {
            let mut next = state.clone();
            next.cuts.clear();
            steps.push(("heal".into(), next));
        }
        for index in 0..state.late_messages.len() {
            let mut transition = Transition::new(self, state, target, None);
            let message = transition.state.late_messages.remove(index);
            let label = format!("late {}", message.name());
            transition.deliver(message);
            steps.push((label, transition.state));
        }
    }

    /// One unit of time, without a fault and with each fault of the messages of one direction.
    fn time_steps(&self, state: &State, target: &str, steps: &mut Vec<(String, State)>) {
        let mut transition = Transition::new(self, state, target, None);
        transition.advance();
        steps.push(("time".into(), transition.state));
        if state.faults_left == 0 {
            return;
        }
        for (from, to) in self.directions() {
            for fault in self.faults.messages {
                let mut transition = Transition::new(self, state, target, Some((*fault, from, to)));
                transition.state.faults_left -= 1;
                transition.advance();
                if transition.fault_applied
                    && transition.state.late_messages.len() <= MAX_LATE_MESSAGES
                {
                    let label = format!("time, {fault:?} {}{}", IDS[from], IDS[to]);
                    steps.push((label, transition.state));
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
            clock: 0,
            cuts: Vec::new(),
            faults_left: self.max_faults,
            incarnation: 0,
            instances: Vec::new(),
            late_messages: Vec::new(),
            recent_sides: Vec::new(),
        };
        let mut transition = Transition::new(self, &empty, &target, None);
        transition.build_start();
        transition.state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let target = self.target();
        let mut steps = Vec::new();
        if state.clock >= self.horizon {
            return steps;
        }
        self.time_steps(state, &target, &mut steps);
        self.recovery_steps(state, &target, &mut steps);
        if state.faults_left > 0 {
            self.fault_steps(state, &target, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let target = self.target();
        let owners: Vec<&str> = (0..self.instances)
            .filter(|index| state.instances[*index].may_dispatch(&target, state.clock))
            .map(|index| IDS[index])
            .collect();
        let sides = match self.owner_per_side {
            true => state.recent_sides.iter().copied().max().unwrap_or(1),
            false => 1,
        };
        if owners.len() > sides {
            return Some(format!("owners {owners:?} on {sides} sides"));
        }
        let load: usize = state
            .instances
            .iter()
            .map(|instance| usize::from(instance.own_streams))
            .sum();
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
