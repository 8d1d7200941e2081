//! Specification of the controller protocol: instances of one domain, their log stream and one engine.
//!
//! In each unit of time every running instance reads the log and ticks. Each instance wants another version, so that
//! every change of controller leads to orders. An order takes effect at any time within the longest order delay or
//! never. The wall clock of the second instance is far ahead, since nothing may rest on wall clocks.

use std::rc::Rc;
use std::time::Duration;

use jujubehook::order::{Action, Controller, Guards, Lease, ModelSpec, Plan, Settings};

use crate::{search, Case, Outcome, Spec};

/// Most states that a search may reach.
const BOUND: usize = 1_000_000;
/// Longest order delay in units.
const DELAY: u32 = 2;
const IDS: [&str; 3] = ["a", "b", "c"];
/// The lease in units. There is no margin, since clocks do not drift here.
const LEASE: u32 = 2;
/// Units by which the wall clock of the second instance is ahead.
const SKEW: u32 = 100;
const TARGET: &str = "t";
const UNIT: Duration = Duration::from_secs(1);

/// A specification.
#[derive(Clone, Debug)]
pub struct Control {
    /// Faults in total.
    pub budget: u8,
    /// Number of instances.
    pub count: usize,
    /// Units after which an order is dropped.
    pub delay: u32,
    /// Whether the engine rejects orders with an old fencing number.
    pub fencing: bool,
    /// Guards of the protocol.
    pub guards: Guards,
    /// Units of time that are searched after the start state.
    pub horizon: u32,
    /// Whether the instances take it that the engine checks the fencing number.
    pub trusted: bool,
}

/// State of all instances, the log and the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    budget: u8,
    clock: u32,
    /// Time at which the search ends.
    end: u32,
    /// Fencing number of the last order that took effect.
    fence: u64,
    incarnation: u64,
    /// An append that is under way.
    late: Option<Lease>,
    loaded: Option<ModelSpec>,
    /// Entries that are still kept, with their offsets.
    log: Vec<(u64, Lease)>,
    nodes: Vec<Node>,
    /// Offset of the last entry.
    offset: u64,
    /// Orders that are under way.
    orders: Vec<Order>,
    /// Whether an order has undone one of a newer controller.
    undone: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    controller: Rc<Controller>,
    /// Offset of the last entry read.
    read: u64,
    status: Status,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Order {
    fence: u64,
    load: ModelSpec,
    until: u32,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Status {
    /// Runs, but the log is down for it.
    Apart,
    /// Runs and appends, but what it reads from the log is late.
    Behind,
    Down,
    Paused,
    Up,
}

/// What happens to appends in a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Arrive,
    /// Takes effect later or never.
    Late,
    Lost,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            budget: 2,
            count: 2,
            delay: DELAY,
            fencing: false,
            guards: Guards::default(),
            horizon: 9,
            trusted: false,
        }
    }
}

impl Control {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, BOUND)
    }

    fn fresh(&self, index: usize, state: &State) -> Node {
        let mut controller = Controller::new(
            IDS[index].into(),
            state.incarnation,
            self.settings(),
            time(state.clock),
        );
        controller.set_plans(vec![Plan {
            checks_fencing: self.trusted,
            load: ModelSpec {
                model: "m".into(),
                role: None,
                version: IDS[index].into(),
            },
            target: TARGET.into(),
        }]);
        Node {
            controller: Rc::new(controller),
            read: 0,
            status: Status::Up,
        }
    }

    /// Lets a unit of time pass.
    fn pass(&self, state: &State, fate: Fate) -> State {
        let mut next = state.clone();
        next.clock += 1;
        let clock = next.clock;
        next.orders.retain(|order| order.until >= clock);
        for index in 0..self.count {
            match next.nodes[index].status {
                Status::Apart => self.tick(&mut next, index, Fate::Lost),
                Status::Behind => self.tick(&mut next, index, fate),
                Status::Down | Status::Paused => {}
                Status::Up => {
                    read(&mut next, index);
                    self.tick(&mut next, index, fate);
                    read(&mut next, index);
                }
            }
        }
        trim(&mut next);
        next
    }

    /// Steps that take no time and cost no fault.
    fn settle(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.count) {
            let mut next = state.clone();
            match state.nodes[index].status {
                Status::Apart | Status::Behind | Status::Paused => {
                    next.nodes[index].status = Status::Up
                }
                Status::Down => {
                    next.incarnation += 1;
                    next.nodes[index] = self.fresh(index, &next);
                }
                Status::Up => continue,
            }
            steps.push((format!("recover {id}"), next));
        }
        if let Some(lease) = &state.late {
            let mut next = state.clone();
            append(&mut next, lease.clone());
            next.late = None;
            steps.push(("late append".into(), next));
        }
        for (index, order) in state.orders.iter().enumerate() {
            let mut next = state.clone();
            next.orders.remove(index);
            self.take(&mut next, order);
            steps.push((format!("order {} takes effect", order.fence), next));
        }
    }

    fn settings(&self) -> Settings {
        Settings {
            burst: 9,
            delay: UNIT * DELAY,
            guards: self.guards,
            interval: Duration::ZERO,
            lease: UNIT * LEASE,
            margin: Duration::ZERO,
            pause: UNIT,
            refresh: UNIT,
            retry: UNIT,
        }
    }

    fn strike(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.count) {
            if state.nodes[index].status != Status::Up {
                continue;
            }
            for status in [Status::Apart, Status::Behind, Status::Down, Status::Paused] {
                let mut next = state.clone();
                next.budget -= 1;
                next.nodes[index].status = status;
                steps.push((format!("{status:?} {id}"), next));
            }
        }
        let mut next = self.pass(state, Fate::Late);
        if state.late.is_some() || next == self.pass(state, Fate::Arrive) {
            return;
        }
        next.budget -= 1;
        steps.push(("time, append late".into(), next));
    }

    /// Lets an order take effect at the engine.
    fn take(&self, state: &mut State, order: &Order) {
        if self.fencing && order.fence < state.fence {
            return;
        }
        state.undone |= order.fence < state.fence;
        state.fence = order.fence;
        state.loaded = Some(order.load.clone());
    }

    fn tick(&self, state: &mut State, index: usize, fate: Fate) {
        let clock = state.clock;
        let ahead = if index == 1 { SKEW } else { 0 };
        let unix = time(clock + ahead).as_millis() as u64;
        let actions = Rc::make_mut(&mut state.nodes[index].controller).tick(time(clock), unix);
        for action in actions {
            match action {
                Action::Append { lease } => match fate {
                    Fate::Arrive => append(state, lease),
                    Fate::Late => state.late = Some(lease),
                    Fate::Lost => {}
                },
                Action::Order { fence, load, .. } => state.orders.push(Order {
                    fence,
                    load,
                    until: clock + self.delay,
                }),
                Action::Read { target } => {
                    let loaded = state.loaded.clone();
                    Rc::make_mut(&mut state.nodes[index].controller).observe(
                        &target,
                        loaded,
                        time(clock),
                    );
                }
            }
        }
    }
}

impl Spec for Control {
    type State = State;

    /// The first instance holds the lease and has waited.
    fn start(&self) -> State {
        let mut state = State {
            budget: self.budget,
            clock: 0,
            end: 0,
            fence: 0,
            incarnation: 0,
            late: None,
            loaded: None,
            log: Vec::new(),
            nodes: Vec::new(),
            offset: 0,
            orders: Vec::new(),
            undone: false,
        };
        for index in 0..self.count {
            state.incarnation += 1;
            let node = self.fresh(index, &state);
            state.nodes.push(node);
        }
        while !state
            .nodes
            .iter()
            .any(|node| node.controller.may_order(false, time(state.clock)))
        {
            state = self.pass(&state, Fate::Arrive);
        }
        state.end = state.clock + self.horizon;
        state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.clock >= state.end {
            return Vec::new();
        }
        let mut steps = vec![("time".into(), self.pass(state, Fate::Arrive))];
        self.settle(state, &mut steps);
        if state.budget > 0 {
            self.strike(state, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        state
            .undone
            .then(|| "an old controller's order undid a newer one".into())
    }
}

/// The specifications and their mutants.
pub fn cases() -> Vec<Case> {
    let on = Guards::default();
    let ignoring = Control::default();
    let single = Control {
        budget: 1,
        horizon: 14,
        ..Control::default()
    };
    let fencing = Control {
        fencing: true,
        trusted: true,
        ..single.clone()
    };
    let longer = single.clone();
    let three = Control {
        count: 3,
        ..single.clone()
    };
    let check = Control {
        fencing: false,
        ..fencing.clone()
    };
    let delay = Control {
        delay: 20,
        ..single.clone()
    };
    let expiry = Control {
        guards: Guards {
            expiry: false,
            ..on
        },
        ..single.clone()
    };
    let wait = Control {
        guards: Guards { wait: false, ..on },
        ..single
    };
    vec![
        Case::real("controller: fencing engine", move || fencing.run()),
        Case::real("controller: engine ignores fencing", move || ignoring.run()),
        Case::real("controller: engine ignores fencing, 1 fault", move || {
            longer.run()
        }),
        Case::real("controller: 3, engine ignores fencing", move || three.run()),
        Case::mutant("controller without: fencing check", move || check.run()),
        Case::mutant("controller without: stop before expiry", move || {
            expiry.run()
        }),
        Case::mutant("controller without: waiting out the lease", move || {
            wait.run()
        }),
        Case::mutant("controller without: bounded order delay", move || {
            delay.run()
        }),
    ]
}

fn append(state: &mut State, lease: Lease) {
    state.offset += 1;
    state.log.push((state.offset, lease));
}

/// Lets an instance read the log to its end.
fn read(state: &mut State, index: usize) {
    let now = time(state.clock);
    let node = &mut state.nodes[index];
    let controller = Rc::make_mut(&mut node.controller);
    for (offset, lease) in &state.log {
        controller.apply(*offset, lease, now);
    }
    node.read = state.offset;
}

/// Drops entries that all running instances have read, but keeps the last one for instances that start.
fn trim(state: &mut State) {
    let running = state
        .nodes
        .iter()
        .filter(|node| node.status != Status::Down);
    let read = running.map(|node| node.read).min().unwrap_or(0);
    let last = state.offset;
    state
        .log
        .retain(|(offset, _)| *offset > read || *offset == last);
}

/// The time at `clock` units.
fn time(clock: u32) -> Duration {
    UNIT * clock
}
