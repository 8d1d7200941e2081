//! Specification of the controller protocol: instances of one domain, their log stream and one engine.
//!
//! In each unit of time every running instance reads the log and ticks. Each instance plans a different model version,
//! so that every change of controller leads to orders. An order takes effect at any time within the longest order delay
//! or never. The wall clock of the second instance is far ahead, since the protocol must not depend on wall clocks.

use std::rc::Rc;
use std::time::Duration;

use jujubehook::order::{Action, Controller, Guards, Lease, Model, Plan, Settings};

use crate::{search, Case, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 1_000_000;
/// Longest order delay in units.
const MAX_ORDER_DELAY: u32 = 2;
const IDS: [&str; 3] = ["a", "b", "c"];
/// The lease in units. No margin is needed, since clocks do not drift in this model.
const LEASE: u32 = 2;
/// Units by which the wall clock of the second instance is ahead.
const CLOCK_SKEW: u32 = 100;
const TARGET: &str = "t";
const UNIT: Duration = Duration::from_secs(1);

/// Instances of one domain that elect a controller, their log stream and one engine.
#[derive(Clone, Debug)]
pub struct Control {
    /// Whether the plans of the instances declare that the engine checks fencing numbers.
    pub declares_fencing: bool,
    /// Whether the engine rejects orders with an old fencing number.
    pub engine_fences: bool,
    /// Guards of the protocol.
    pub guards: Guards,
    /// Units of time that are searched after the start state.
    pub horizon: u32,
    /// Number of instances.
    pub instances: usize,
    /// Number of faults that may occur.
    pub max_faults: u8,
    /// Units within which an order takes effect or is dropped.
    pub order_delay: u32,
}

/// State of all instances, the log and the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    clock: u32,
    /// Time at which the search ends.
    end: u32,
    faults_left: u8,
    /// Fencing number of the last order that took effect.
    fence: u64,
    /// Last incarnation that an instance was started with.
    incarnation: u64,
    instances: Vec<Instance>,
    /// An append that takes effect later or never.
    late_append: Option<Lease>,
    loaded: Option<Model>,
    /// Entries that are still kept, with their offsets.
    log: Vec<(u64, Lease)>,
    /// Offset of the last entry.
    offset: u64,
    /// Whether an order has overwritten one of a newer controller.
    order_undone: bool,
    /// Orders in flight.
    orders: Vec<Order>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Instance {
    controller: Rc<Controller>,
    /// Offset of the last entry that the instance has read.
    read_offset: u64,
    status: Status,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Order {
    fence: u64,
    load: Model,
    /// Last unit in which the order can take effect.
    until: u32,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Status {
    /// Runs, but cannot reach the log.
    Apart,
    /// Runs and appends, but reads nothing from the log.
    Behind,
    Down,
    Paused,
    Up,
}

/// What happens to the appends of a unit of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delivery {
    /// They take effect later or never.
    Late,
    Lost,
    OnTime,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            declares_fencing: false,
            engine_fences: false,
            guards: Guards::default(),
            horizon: 9,
            instances: 2,
            max_faults: 2,
            order_delay: MAX_ORDER_DELAY,
        }
    }
}

impl Control {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, MAX_STATES)
    }

    /// A newly started instance.
    fn new_instance(&self, index: usize, state: &State) -> Instance {
        let mut controller = Controller::new(
            IDS[index].into(),
            state.incarnation,
            self.settings(),
            time(state.clock),
        );
        controller.set_plans(vec![Plan {
            checks_fencing: self.declares_fencing,
            load: Model {
                model: "m".into(),
                role: None,
                version: IDS[index].into(),
            },
            target: TARGET.into(),
        }]);
        Instance {
            controller: Rc::new(controller),
            read_offset: 0,
            status: Status::Up,
        }
    }

    /// The state after one unit of time.
    fn advance(&self, state: &State, delivery: Delivery) -> State {
        let mut next = state.clone();
        next.clock += 1;
        let clock = next.clock;
        next.orders.retain(|order| order.until >= clock);
        for index in 0..self.instances {
            match next.instances[index].status {
                Status::Apart => self.tick(&mut next, index, Delivery::Lost),
                Status::Behind => self.tick(&mut next, index, delivery),
                Status::Down | Status::Paused => {}
                Status::Up => {
                    read_log(&mut next, index);
                    self.tick(&mut next, index, delivery);
                    read_log(&mut next, index);
                }
            }
        }
        trim_log(&mut next);
        next
    }

    /// Recoveries and late deliveries, which are not faults and take no time.
    fn recovery_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.instances) {
            let mut next = state.clone();
            match state.instances[index].status {
                Status::Apart | Status::Behind | Status::Paused => {
                    next.instances[index].status = Status::Up
                }
                Status::Down => {
                    next.incarnation += 1;
                    next.instances[index] = self.new_instance(index, &next);
                }
                Status::Up => continue,
            }
            steps.push((format!("recover {id}"), next));
        }
        if let Some(lease) = &state.late_append {
            let mut next = state.clone();
            append(&mut next, lease.clone());
            next.late_append = None;
            steps.push(("late append".into(), next));
        }
        for (index, order) in state.orders.iter().enumerate() {
            let mut next = state.clone();
            next.orders.remove(index);
            self.apply_order(&mut next, order);
            steps.push((format!("order {} takes effect", order.fence), next));
        }
    }

    fn settings(&self) -> Settings {
        Settings {
            burst: 9,
            delay: UNIT * MAX_ORDER_DELAY,
            guards: self.guards,
            interval: Duration::ZERO,
            lease: UNIT * LEASE,
            margin: Duration::ZERO,
            pause: UNIT,
            refresh: UNIT,
            retry: UNIT,
        }
    }

    /// Faults of the instances and of the next append.
    fn fault_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, id) in IDS.iter().enumerate().take(self.instances) {
            if state.instances[index].status != Status::Up {
                continue;
            }
            for status in [Status::Apart, Status::Behind, Status::Down, Status::Paused] {
                let mut next = state.clone();
                next.faults_left -= 1;
                next.instances[index].status = status;
                steps.push((format!("{status:?} {id}"), next));
            }
        }
        let mut next = self.advance(state, Delivery::Late);
        if state.late_append.is_some() || next == self.advance(state, Delivery::OnTime) {
            return;
        }
        next.faults_left -= 1;
        steps.push(("time, append late".into(), next));
    }

    /// Applies an order at the engine, unless its fencing number is rejected.
    fn apply_order(&self, state: &mut State, order: &Order) {
        if self.engine_fences && order.fence < state.fence {
            return;
        }
        state.order_undone |= order.fence < state.fence;
        state.fence = order.fence;
        state.loaded = Some(order.load.clone());
    }

    /// Ticks the controller of an instance and carries out its actions.
    fn tick(&self, state: &mut State, index: usize, delivery: Delivery) {
        let clock = state.clock;
        let skew = if index == 1 { CLOCK_SKEW } else { 0 };
        let unix = time(clock + skew).as_millis() as u64;
        let actions = Rc::make_mut(&mut state.instances[index].controller).tick(time(clock), unix);
        for action in actions {
            match action {
                Action::Append { lease } => match delivery {
                    Delivery::OnTime => append(state, lease),
                    Delivery::Late => state.late_append = Some(lease),
                    Delivery::Lost => {}
                },
                Action::Order { fence, load, .. } => state.orders.push(Order {
                    fence,
                    load,
                    until: clock + self.order_delay,
                }),
                Action::Read { target } => {
                    let loaded = state.loaded.clone();
                    Rc::make_mut(&mut state.instances[index].controller).observe(
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

    /// One instance holds the lease and may already send orders.
    fn start(&self) -> State {
        let mut state = State {
            clock: 0,
            end: 0,
            faults_left: self.max_faults,
            fence: 0,
            incarnation: 0,
            instances: Vec::new(),
            late_append: None,
            loaded: None,
            log: Vec::new(),
            offset: 0,
            order_undone: false,
            orders: Vec::new(),
        };
        for index in 0..self.instances {
            state.incarnation += 1;
            let instance = self.new_instance(index, &state);
            state.instances.push(instance);
        }
        while !state
            .instances
            .iter()
            .any(|instance| instance.controller.may_order(false, time(state.clock)))
        {
            state = self.advance(&state, Delivery::OnTime);
        }
        state.end = state.clock + self.horizon;
        state
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.clock >= state.end {
            return Vec::new();
        }
        let mut steps = vec![("time".into(), self.advance(state, Delivery::OnTime))];
        self.recovery_steps(state, &mut steps);
        if state.faults_left > 0 {
            self.fault_steps(state, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        state
            .order_undone
            .then(|| "an order of an old controller overwrote one of a newer controller".into())
    }
}

/// The specifications and their mutants.
pub fn cases() -> Vec<Case> {
    let guards = Guards::default();
    let ignoring = Control::default();
    let single = Control {
        horizon: 14,
        max_faults: 1,
        ..Control::default()
    };
    let fencing = Control {
        declares_fencing: true,
        engine_fences: true,
        ..single.clone()
    };
    let longer = single.clone();
    let three = Control {
        instances: 3,
        ..single.clone()
    };
    let check = Control {
        engine_fences: false,
        ..fencing.clone()
    };
    let delay = Control {
        order_delay: 20,
        ..single.clone()
    };
    let expiry = Control {
        guards: Guards {
            expiry: false,
            ..guards
        },
        ..single.clone()
    };
    let wait = Control {
        guards: Guards {
            wait: false,
            ..guards
        },
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

/// Lets an instance read to the end of the log.
fn read_log(state: &mut State, index: usize) {
    let now = time(state.clock);
    let instance = &mut state.instances[index];
    let controller = Rc::make_mut(&mut instance.controller);
    for (offset, lease) in &state.log {
        controller.apply(*offset, lease, now);
    }
    instance.read_offset = state.offset;
}

/// Removes the entries that all running instances have read, but keeps the last one for instances that start.
fn trim_log(state: &mut State) {
    let running = state
        .instances
        .iter()
        .filter(|instance| instance.status != Status::Down);
    let read = running
        .map(|instance| instance.read_offset)
        .min()
        .unwrap_or(0);
    let last = state.offset;
    state
        .log
        .retain(|(offset, _)| *offset > read || *offset == last);
}

/// The time at `clock` units.
fn time(clock: u32) -> Duration {
    UNIT * clock
}
