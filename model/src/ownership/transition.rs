use std::rc::Rc;

use jujubehook::owner::{Acquire, Action, Grant, Heartbeat, Table};

use super::instance::time;
use super::{Fault, Instance, Ownership, State, Status, IDS};

/// A message that arrives late, with the index of its receiver.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Message {
    Acquire(usize, Acquire),
    Grant(usize, Grant),
    Heartbeat(usize, Heartbeat),
}

/// Computes one step: applies commands and messages to a copy of a state.
pub(super) struct Transition<'a> {
    spec: &'a Ownership,
    pub(super) state: State,
    target: &'a str,
    /// A fault of the messages from one instance, the first index, to another.
    fault: Option<(Fault, usize, usize)>,
    /// Whether the fault has affected a message.
    pub(super) fault_applied: bool,
}

impl Message {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Message::Acquire(..) => "request",
            Message::Grant(..) => "grant",
            Message::Heartbeat(..) => "heartbeat",
        }
    }
}

impl<'a> Transition<'a> {
    pub(super) fn new(
        spec: &'a Ownership,
        state: &State,
        target: &'a str,
        fault: Option<(Fault, usize, usize)>,
    ) -> Self {
        Self {
            spec,
            state: state.clone(),
            target,
            fault,
            fault_applied: false,
        }
    }

    /// Stops an instance without notice; its streams end with its connections.
    pub(super) fn crash(&mut self, index: usize) {
        let instance = &mut self.state.instances[index];
        instance.inbox.clear();
        instance.own_streams = 0;
        instance.foreign_streams = None;
        instance.status = Status::Down;
    }

    /// Delivers a late message.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Acquire(to, acquire) => self.receive_request(to, &acquire),
            Message::Grant(to, grant) => self.receive_grant(to, &grant),
            Message::Heartbeat(to, heartbeat) => self.receive_heartbeat(to, &heartbeat),
        }
    }

    pub(super) fn leave(&mut self, index: usize) {
        self.run_command(index, |table, clock| table.leave(time(clock)));
    }

    /// Advances the time by one unit.
    pub(super) fn advance(&mut self) {
        self.state.clock += 1;
        let sides = self.count_sides();
        self.state.recent_sides.remove(0);
        self.state.recent_sides.push(sides);
        for index in 0..self.spec.instances {
            if self.state.instances[index].status != Status::Up {
                continue;
            }
            self.run_command(index, |table, clock| table.tick(time(clock)));
            for to in (0..self.spec.instances).filter(|to| *to != index) {
                self.send_heartbeat(index, to);
            }
            self.dispatch(index);
        }
    }

    /// Ends the pause of an instance, which then receives the heartbeats that have waited.
    pub(super) fn resume(&mut self, index: usize) {
        self.state.instances[index].status = Status::Up;
        for heartbeat in std::mem::take(&mut self.state.instances[index].inbox) {
            self.receive_heartbeat(index, &heartbeat);
        }
    }

    /// Starts a stopped instance, which remembers nothing.
    pub(super) fn start(&mut self, index: usize) {
        self.state.incarnation += 1;
        self.state.instances[index] = self.new_instance(index);
    }

    /// Builds the start state: the joining instance has run for `join_age` units, all others for longer.
    pub(super) fn build_start(&mut self) {
        for index in 0..self.spec.instances {
            self.state.incarnation += 1;
            let instance = self.new_instance(index);
            self.state.instances.push(instance);
            if self.spec.joining == Some(index) {
                self.crash(index);
            }
        }
        self.state.recent_sides = vec![1; self.spec.lease as usize];
        for _ in 0..self.spec.lease + 2 {
            self.advance();
        }
        self.state.recent_sides.fill(1);
        if let Some(index) = self.spec.joining {
            self.start(index);
        }
        for _ in 0..self.spec.join_age {
            self.advance();
        }
    }

    /// A newly started instance.
    fn new_instance(&self, index: usize) -> Instance {
        let now = time(self.state.clock);
        let mut table = Table::new(
            IDS[index].into(),
            self.state.incarnation,
            self.spec.settings(),
            now,
        );
        table.set_targets(vec![self.target.into()], now);
        Instance {
            foreign_streams: None,
            inbox: Vec::new(),
            own_streams: 0,
            status: Status::Up,
            table: Rc::new(table),
        }
    }

    /// Runs a command on the ownership table of an instance and carries out the actions that it returns.
    fn run_command(&mut self, index: usize, command: impl FnOnce(&mut Table, u32) -> Vec<Action>) {
        let clock = self.state.clock;
        let table = Rc::make_mut(&mut self.state.instances[index].table);
        let actions = command(table, clock);
        for action in actions {
            match action {
                Action::Acquire { message, to } => self.send_request(index, &to, message),
                Action::Gained {
                    in_flight, planned, ..
                } => self.gain_target(index, in_flight, planned),
                Action::Lost { .. } => {}
            }
        }
    }

    fn receive_grant(&mut self, to: usize, grant: &Grant) {
        if self.state.instances[to].status == Status::Up {
            self.run_command(to, |table, clock| table.receive_grant(grant, time(clock)));
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let clock = self.state.clock;
        let table = Rc::make_mut(&mut self.state.instances[from].table);
        let heartbeat = table.next_heartbeat(&IDS[to].to_string(), time(clock));
        if !self.can_reach(from, to) {
            return;
        }
        match self.fault_between(from, to) {
            Some(Fault::BeatLost) => self.fault_applied = true,
            Some(Fault::BeatLate) => self.delay(Message::Heartbeat(to, heartbeat)),
            Some(Fault::BeatDoubled) => {
                self.delay(Message::Heartbeat(to, heartbeat.clone()));
                self.receive_heartbeat(to, &heartbeat);
            }
            _ => self.receive_heartbeat(to, &heartbeat),
        }
    }

    /// The number of sides of the network: groups of running instances between which no message passes in either
    /// direction.
    fn count_sides(&self) -> usize {
        let up: Vec<usize> = (0..self.spec.instances)
            .filter(|index| self.state.instances[*index].status == Status::Up)
            .collect();
        let mut sides: Vec<Vec<usize>> = Vec::new();
        for index in up {
            let linked =
                |other: &usize| self.can_reach(index, *other) || self.can_reach(*other, index);
            let (mut joined, apart): (Vec<_>, Vec<_>) =
                sides.into_iter().partition(|side| side.iter().any(linked));
            joined.push(vec![index]);
            sides = apart;
            sides.push(joined.concat());
        }
        sides.len().max(1)
    }

    /// Opens as many streams as the cold target takes, given the foreign streams that this instance knows of.
    fn dispatch(&mut self, index: usize) {
        let instance = &self.state.instances[index];
        if !instance.may_dispatch(self.target, self.state.clock) {
            return;
        }
        let unread = instance.foreign_streams.is_none();
        let foreign = match unread {
            true if self.spec.reads_streams => self.foreign_streams(index),
            true => 0,
            false => instance.foreign_streams.unwrap_or(0),
        };
        let instance = &mut self.state.instances[index];
        instance.foreign_streams = Some(foreign);
        instance.own_streams = instance
            .own_streams
            .max(self.spec.cold_limit.saturating_sub(foreign));
    }

    fn send_request(&mut self, from: usize, to: &str, message: Acquire) {
        let to = IDS.iter().position(|id| *id == to).unwrap_or(0);
        if !self.can_reach(from, to) {
            return;
        }
        match self.fault_between(from, to) {
            Some(Fault::RequestLost) => self.fault_applied = true,
            Some(Fault::RequestLate) => self.delay(Message::Acquire(to, message)),
            Some(Fault::RequestDoubled) => {
                self.delay(Message::Acquire(to, message.clone()));
                self.receive_request(to, &message);
            }
            _ => self.receive_request(to, &message),
        }
    }

    /// Records the load at a gained target, which is known only after a planned handover.
    fn gain_target(&mut self, index: usize, in_flight: u32, planned: bool) {
        let foreign = u8::try_from(in_flight).unwrap_or(u8::MAX);
        self.state.instances[index].foreign_streams = planned.then_some(foreign);
    }

    fn receive_heartbeat(&mut self, to: usize, heartbeat: &Heartbeat) {
        match self.state.instances[to].status {
            Status::Down => {}
            Status::Paused => {
                let inbox = &mut self.state.instances[to].inbox;
                inbox.retain(|waiting| waiting.from != heartbeat.from);
                inbox.push(heartbeat.clone());
            }
            Status::Up => self.run_command(to, |table, clock| {
                table.receive_heartbeat(heartbeat, time(clock))
            }),
        }
    }

    /// Keeps a message that arrives later or never.
    fn delay(&mut self, message: Message) {
        self.fault_applied = true;
        self.state.late_messages.push(message);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.state.cuts.contains(&(from, to))
    }

    /// Delivers a request and returns the grant to its sender.
    fn receive_request(&mut self, to: usize, message: &Acquire) {
        if self.state.instances[to].status != Status::Up {
            return;
        }
        let clock = time(self.state.clock);
        let instance = &mut self.state.instances[to];
        let known = instance.known_streams();
        let (grant, _) =
            Rc::make_mut(&mut instance.table).answer_acquire(message, |_| known, clock);
        let sender = IDS.iter().position(|id| *id == message.from).unwrap_or(0);
        if !self.can_reach(to, sender) {
            return;
        }
        match self.fault_between(to, sender) {
            Some(Fault::GrantLost) => self.fault_applied = true,
            Some(Fault::GrantLate) => self.delay(Message::Grant(sender, grant)),
            Some(Fault::GrantDoubled) => {
                self.delay(Message::Grant(sender, grant.clone()));
                self.receive_grant(sender, &grant);
            }
            _ => self.receive_grant(sender, &grant),
        }
    }

    /// Streams of all other instances at the target.
    fn foreign_streams(&self, index: usize) -> u8 {
        let all: u8 = self
            .state
            .instances
            .iter()
            .map(|instance| instance.own_streams)
            .sum();
        all - self.state.instances[index].own_streams
    }

    /// The fault of the messages between two instances, if this transition has one.
    fn fault_between(&self, from: usize, to: usize) -> Option<Fault> {
        let (fault, sender, receiver) = self.fault?;
        (sender == from && receiver == to).then_some(fault)
    }
}
