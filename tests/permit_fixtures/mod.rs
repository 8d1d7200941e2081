//! The engines of one failure domain, as its allocator sees them.

#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use jujubehook::entry::permit::{Allocator, Answered, Ask, Asker, Known, Reply, Room, Slots};
use jujubehook::entry::{Engine, Load, Permit, Profile, View};

use super::entry_fixtures::{engines, profile};

/// Engines and what the allocator knows of their load.
pub(crate) struct Domain {
    pub(crate) elsewhere: Vec<Room>,
    pub(crate) engines: Vec<Engine>,
    /// Time between two heartbeats.
    pub(crate) interval: Duration,
    pub(crate) now: Cell<Duration>,
    pub(crate) profile: Profile,
    pub(crate) view: RefCell<View>,
}

impl Domain {
    /// Idle engines with this number of slots each.
    pub(crate) fn new(count: usize, slots: u32) -> Domain {
        Domain {
            elsewhere: Vec::new(),
            engines: engines(count),
            interval: Duration::from_millis(40),
            now: Cell::default(),
            profile: Profile { slots, ..profile() },
            view: RefCell::default(),
        }
    }

    /// Asks at `now`; returns the replies by number.
    pub(crate) fn ask(
        &self,
        allocator: &mut Allocator,
        ask: Ask,
        now: Duration,
    ) -> Vec<(u64, Reply)> {
        self.now.set(now);
        replies(allocator.ask(asker(0), ask, self, now))
    }
}

impl Slots for Domain {
    fn known(&self, ask: &Ask) -> Option<Known> {
        if ask.service != "llm" {
            return None;
        }
        let loads = self.view.borrow().loads(self.now.get());
        let usable = self.engines.iter();
        let mut engines: Vec<Engine> = usable
            .filter(|engine| !ask.excluded.contains(&engine.key))
            .cloned()
            .collect();
        for engine in &mut engines {
            let found = loads.binary_search_by_key(&engine.key, |(key, _)| *key);
            engine.load = found.map_or(Load::default(), |at| loads[at].1);
        }
        Some(Known {
            elsewhere: self.elsewhere.clone(),
            engines,
            profile: self.profile.clone(),
        })
    }

    fn heartbeat_interval(&self) -> Duration {
        self.interval
    }

    fn grant(&self, permit: Permit) {
        self.view.borrow_mut().grant(permit);
    }
}

pub(crate) fn replies(answers: Vec<Answered>) -> Vec<(u64, Reply)> {
    let answers = answers.into_iter();
    answers
        .map(|answered| (answered.number, answered.reply))
        .collect()
}

/// The process of an instance.
pub(crate) fn asker(instance: usize) -> Asker {
    Asker {
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        incarnation: instance as u64 + 1,
    }
}

/// An ask for a chat that can wait for some seconds.
pub(crate) fn ask(number: u64) -> Ask {
    Ask {
        number,
        service: "llm".into(),
        prompt: 5_000,
        tokens: 6_200,
        gap_ms: 250,
        objective_ms: 10_000,
        left_ms: 20_000,
        ..Ask::default()
    }
}
