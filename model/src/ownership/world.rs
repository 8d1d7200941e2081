use std::rc::Rc;

use jujubehook::owner::{Acquire, Action, Grant, Heartbeat, Table};

use super::node::time;
use super::{Fault, Node, Ownership, State, Status, IDS};

/// A message that is under way, with the index of its receiver.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Message {
    Acquire(usize, Acquire),
    Beat(usize, Heartbeat),
    Grant(usize, Grant),
}

/// A state while a step is computed.
pub(super) struct World<'a> {
    spec: &'a Ownership,
    pub(super) state: State,
    target: &'a str,
    fault: Option<(Fault, usize, usize)>,
    /// Whether the fault has hit a message.
    pub(super) used: bool,
}

impl Message {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Message::Acquire(..) => "request",
            Message::Beat(..) => "heartbeat",
            Message::Grant(..) => "grant",
        }
    }
}

impl<'a> World<'a> {
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
            used: false,
        }
    }

    /// Stops an instance; its streams end with its connections.
    pub(super) fn crash(&mut self, index: usize) {
        let node = &mut self.state.nodes[index];
        node.inbox.clear();
        node.own = 0;
        node.foreign = None;
        node.status = Status::Down;
    }

    /// Lets a message arrive late.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Acquire(to, acquire) => self.request(to, &acquire),
            Message::Beat(to, beat) => self.hear(to, &beat),
            Message::Grant(to, grant) => self.answer(to, &grant),
        }
    }

    pub(super) fn leave(&mut self, index: usize) {
        self.act(index, |table, clock| table.leave(time(clock)));
    }

    /// Lets one unit of time pass.
    pub(super) fn pass(&mut self) {
        self.state.clock += 1;
        let sides = self.count_sides();
        self.state.sides.remove(0);
        self.state.sides.push(sides);
        for index in 0..self.spec.count {
            if self.state.nodes[index].status != Status::Up {
                continue;
            }
            self.act(index, |table, clock| table.tick(time(clock)));
            for to in (0..self.spec.count).filter(|to| *to != index) {
                self.beat(index, to);
            }
            self.dispatch(index);
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        self.state.nodes[index].status = Status::Up;
        for beat in std::mem::take(&mut self.state.nodes[index].inbox) {
            self.hear(index, &beat);
        }
    }

    /// Starts a stopped instance without memory.
    pub(super) fn start(&mut self, index: usize) {
        self.state.incarnation += 1;
        self.state.nodes[index] = self.fresh(index);
    }

    /// Builds the start state: all instances but the one that joins later have run for a while.
    pub(super) fn warm_up(&mut self) {
        for index in 0..self.spec.count {
            self.state.incarnation += 1;
            let node = self.fresh(index);
            self.state.nodes.push(node);
            if self.spec.joins == Some(index) {
                self.crash(index);
            }
        }
        self.state.sides = vec![1; self.spec.lease as usize];
        for _ in 0..self.spec.lease + 2 {
            self.pass();
        }
        self.state.sides.fill(1);
        if let Some(index) = self.spec.joins {
            self.start(index);
        }
        for _ in 0..self.spec.age {
            self.pass();
        }
    }

    fn fresh(&self, index: usize) -> Node {
        let now = time(self.state.clock);
        let mut table = Table::new(
            IDS[index].into(),
            self.state.incarnation,
            self.spec.settings(),
            now,
        );
        table.set_targets(vec![self.target.into()], now);
        Node {
            foreign: None,
            inbox: Vec::new(),
            own: 0,
            status: Status::Up,
            table: Rc::new(table),
        }
    }

    /// Runs a command of an instance and what follows from it.
    fn act(&mut self, index: usize, command: impl FnOnce(&mut Table, u32) -> Vec<Action>) {
        let clock = self.state.clock;
        let table = Rc::make_mut(&mut self.state.nodes[index].table);
        let actions = command(table, clock);
        for action in actions {
            match action {
                Action::Acquire { message, to } => self.exchange(index, &to, message),
                Action::Gained {
                    in_flight, planned, ..
                } => self.gain(index, in_flight, planned),
                Action::Lost { .. } => {}
            }
        }
    }

    fn answer(&mut self, to: usize, grant: &Grant) {
        if self.state.nodes[to].status == Status::Up {
            self.act(to, |table, clock| table.receive_grant(grant, time(clock)));
        }
    }

    fn beat(&mut self, from: usize, to: usize) {
        let clock = self.state.clock;
        let table = Rc::make_mut(&mut self.state.nodes[from].table);
        let beat = table.next_heartbeat(&IDS[to].to_string(), time(clock));
        if !self.reach(from, to) {
            return;
        }
        match self.fault(from, to) {
            Some(Fault::BeatLost) => self.used = true,
            Some(Fault::BeatLate) => self.pool(Message::Beat(to, beat)),
            Some(Fault::BeatDoubled) => {
                self.pool(Message::Beat(to, beat.clone()));
                self.hear(to, &beat);
            }
            _ => self.hear(to, &beat),
        }
    }

    /// The number of groups of running instances between which no message passes in either direction.
    fn count_sides(&self) -> usize {
        let up: Vec<usize> = (0..self.spec.count)
            .filter(|index| self.state.nodes[*index].status == Status::Up)
            .collect();
        let mut sides: Vec<Vec<usize>> = Vec::new();
        for index in up {
            let linked = |other: &usize| self.reach(index, *other) || self.reach(*other, index);
            let (mut joined, apart): (Vec<_>, Vec<_>) =
                sides.into_iter().partition(|side| side.iter().any(linked));
            joined.push(vec![index]);
            sides = apart;
            sides.push(joined.concat());
        }
        sides.len().max(1)
    }

    /// Sends as much as the cold target takes, as this instance knows it.
    fn dispatch(&mut self, index: usize) {
        let node = &self.state.nodes[index];
        if !node.may_dispatch(self.target, self.state.clock) {
            return;
        }
        let unread = node.foreign.is_none();
        let foreign = match unread {
            true if self.spec.reads => self.streams(index),
            true => 0,
            false => node.foreign.unwrap_or(0),
        };
        let node = &mut self.state.nodes[index];
        node.foreign = Some(foreign);
        node.own = node.own.max(self.spec.cold_limit.saturating_sub(foreign));
    }

    fn exchange(&mut self, from: usize, to: &str, message: Acquire) {
        let to = IDS.iter().position(|id| *id == to).unwrap_or(0);
        if !self.reach(from, to) {
            return;
        }
        match self.fault(from, to) {
            Some(Fault::RequestLost) => self.used = true,
            Some(Fault::RequestLate) => self.pool(Message::Acquire(to, message)),
            Some(Fault::RequestDoubled) => {
                self.pool(Message::Acquire(to, message.clone()));
                self.request(to, &message);
            }
            _ => self.request(to, &message),
        }
    }

    fn gain(&mut self, index: usize, in_flight: u32, planned: bool) {
        let foreign = u8::try_from(in_flight).unwrap_or(u8::MAX);
        self.state.nodes[index].foreign = planned.then_some(foreign);
    }

    fn hear(&mut self, to: usize, beat: &Heartbeat) {
        match self.state.nodes[to].status {
            Status::Down => {}
            Status::Paused => {
                let inbox = &mut self.state.nodes[to].inbox;
                inbox.retain(|waiting| waiting.from != beat.from);
                inbox.push(beat.clone());
            }
            Status::Up => self.act(to, |table, clock| {
                table.receive_heartbeat(beat, time(clock))
            }),
        }
    }

    fn pool(&mut self, message: Message) {
        self.used = true;
        self.state.pool.push(message);
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        !self.state.cuts.contains(&(from, to))
    }

    /// Lets a request arrive and its answer return.
    fn request(&mut self, to: usize, message: &Acquire) {
        if self.state.nodes[to].status != Status::Up {
            return;
        }
        let clock = time(self.state.clock);
        let node = &mut self.state.nodes[to];
        let known = node.known();
        let (grant, _) = Rc::make_mut(&mut node.table).answer_acquire(message, |_| known, clock);
        let back = IDS.iter().position(|id| *id == message.from).unwrap_or(0);
        if !self.reach(to, back) {
            return;
        }
        match self.fault(to, back) {
            Some(Fault::GrantLost) => self.used = true,
            Some(Fault::GrantLate) => self.pool(Message::Grant(back, grant)),
            Some(Fault::GrantDoubled) => {
                self.pool(Message::Grant(back, grant.clone()));
                self.answer(back, &grant);
            }
            _ => self.answer(back, &grant),
        }
    }

    /// Streams of the other instances at the target.
    fn streams(&self, index: usize) -> u8 {
        let all: u8 = self.state.nodes.iter().map(|node| node.own).sum();
        all - self.state.nodes[index].own
    }

    fn fault(&self, from: usize, to: usize) -> Option<Fault> {
        let (fault, at, other) = self.fault?;
        (at == from && other == to).then_some(fault)
    }
}
