//! Simulation of the instances of one domain and their network, in steps of 100 ms. Links can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehook::id::{InstanceId, TargetId};
use jujubehook::owner::{Action, Settings, Table};

const HEARTBEAT_STEPS: u32 = 5;
const STEP: Duration = Duration::from_millis(100);

pub(crate) struct Net {
    /// Links, by sender and receiver, that lose all messages.
    pub(crate) cuts: BTreeSet<(InstanceId, InstanceId)>,
    /// New owner, target, whether the handover was planned, and requests in flight.
    pub(crate) gained: Vec<(InstanceId, TargetId, bool, u32)>,
    pub(crate) lost: Vec<(InstanceId, TargetId)>,
    pub(crate) nodes: BTreeMap<InstanceId, Table>,
    /// Instances whose process is paused.
    pub(crate) paused: BTreeSet<InstanceId>,
    /// Number of steps in which no instance could dispatch to the first target.
    pub(crate) ownerless_steps: u32,
    incarnations: u64,
    steps: u32,
    targets: Vec<TargetId>,
}

impl Net {
    pub(crate) fn new(ids: &[&str], targets: usize) -> Self {
        let mut net = Self {
            cuts: BTreeSet::new(),
            gained: Vec::new(),
            lost: Vec::new(),
            nodes: BTreeMap::new(),
            paused: BTreeSet::new(),
            ownerless_steps: 0,
            incarnations: 0,
            steps: 0,
            targets: (0..targets).map(|index| format!("t{index}")).collect(),
        };
        for id in ids {
            net.join(id);
        }
        net
    }

    pub(crate) fn now(&self) -> Duration {
        STEP * self.steps
    }

    pub(crate) fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.into(), to.into()));
    }

    /// Starts an instance, or replaces it by a new incarnation.
    pub(crate) fn join(&mut self, id: &str) {
        self.incarnations += 1;
        let mut table = Table::new(
            id.into(),
            self.incarnations,
            Settings::default(),
            self.now(),
        );
        table.set_targets(self.targets.clone(), self.now());
        self.nodes.insert(id.into(), table);
    }

    pub(crate) fn owners(&self, target: &str) -> Vec<InstanceId> {
        let target = target.to_string();
        self.nodes
            .iter()
            .filter(|(_, table)| table.may_dispatch(&target, self.now()))
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub(crate) fn owned(&self, id: &str) -> usize {
        self.targets
            .iter()
            .filter(|target| self.owners(target).iter().any(|owner| owner == id))
            .count()
    }

    /// Runs for `millis` and checks after each step that no target has two owners.
    pub(crate) fn run(&mut self, millis: u32) {
        for _ in 0..millis / 100 {
            self.step();
            for target in &self.targets {
                let owners = self.owners(target);
                assert!(
                    owners.len() < 2,
                    "{target} is owned by {owners:?} at {:?}",
                    self.now()
                );
            }
            self.ownerless_steps += u32::from(self.owners("t0").is_empty());
        }
    }

    pub(crate) fn step(&mut self) {
        self.steps += 1;
        let ids: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        for id in &ids {
            if self.paused.contains(id) {
                continue;
            }
            self.act(id, |table, now| table.tick(now));
            if !self.steps.is_multiple_of(HEARTBEAT_STEPS) {
                continue;
            }
            for to in &ids {
                self.heartbeat(id, to);
            }
        }
    }

    pub(crate) fn act(
        &mut self,
        id: &str,
        command: impl FnOnce(&mut Table, Duration) -> Vec<Action>,
    ) {
        let now = self.now();
        let mut actions = command(self.nodes.get_mut(id).unwrap(), now);
        actions.reverse();
        while let Some(action) = actions.pop() {
            match action {
                Action::Acquire { message, to } => {
                    if !self.is_reachable(id, &to) || !self.is_reachable(&to, id) {
                        continue;
                    }
                    let peer = self.nodes.get_mut(&to).unwrap();
                    let (grant, own) = peer.answer_acquire(&message, |_| 2, now);
                    self.lost
                        .extend(own.into_iter().filter_map(|action| match action {
                            Action::Lost { target } => Some((to.clone(), target)),
                            Action::Acquire { .. } | Action::Gained { .. } => None,
                        }));
                    actions.extend(self.nodes.get_mut(id).unwrap().receive_grant(&grant, now));
                }
                Action::Gained {
                    in_flight,
                    planned,
                    target,
                } => {
                    self.gained.push((id.into(), target, planned, in_flight));
                }
                Action::Lost { target } => self.lost.push((id.into(), target)),
            }
        }
    }

    fn heartbeat(&mut self, id: &str, to: &str) {
        if id == to {
            return;
        }
        let now = self.now();
        let heartbeat = self
            .nodes
            .get_mut(id)
            .unwrap()
            .next_heartbeat(&to.into(), now);
        if self.is_reachable(id, to) {
            self.act(to, |table, now| table.receive_heartbeat(&heartbeat, now));
        }
    }

    fn is_reachable(&self, from: &str, to: &str) -> bool {
        self.nodes.contains_key(to)
            && !self.paused.contains(to)
            && !self.cuts.contains(&(from.into(), to.into()))
    }
}
