//! Guards against engines that get more requests than they have slots: many instances ask one allocator at the same
//! moment, while messages are lost, late, and overtake each other.

mod entry_fixtures;
mod permit_fixtures;

use std::collections::BTreeMap;
use std::time::Duration;

use entry_fixtures::ms;
use jujubehook::entry::permit::{Allocator, Answered, Ask, Reply, Update};
use jujubehook::entry::{Heartbeat, TargetKey, View, Work};
use permit_fixtures::{ask, asker, Domain};

const ENGINES: usize = 6;
const INSTANCES: usize = 20;
const SLOTS: u32 = 4;

/// Milliseconds that are simulated, and before the end of which no new request arrives.
const END_MS: u64 = 8_000;
const QUIET_MS: u64 = 3_000;

/// Milliseconds between two heartbeats, and by which one may be late. Less than the time of a permit in total.
const HEARTBEAT_MS: u64 = 60;
const MAX_LATE_MS: u64 = 150;

/// Share of asks, replies and updates that are lost.
const LOST: f64 = 0.05;

enum Mail {
    Ask(usize, Ask),
    Beat(Box<Heartbeat>),
    Reply(Answered),
    Return(usize, u64, u64),
    Update(usize, Update),
}

#[derive(Default)]
struct Instance {
    /// Asks without a final reply: number, time of the next repeat and time at which the caller leaves.
    open: BTreeMap<u64, (u64, u64)>,
    /// Number in the view, engine and end of each running request.
    running: Vec<(u64, TargetKey, u64)>,
    sequence: u64,
    view: View,
}

struct Simulation {
    allocator: Allocator,
    domain: Domain,
    granted: usize,
    instances: Vec<Instance>,
    mail: Vec<(u64, Mail)>,
    now: u64,
    number: u64,
    random: fastrand::Rng,
}

fn name(instance: usize) -> String {
    format!("instance-{instance:02}")
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            allocator: Allocator::new(seed),
            domain: Domain::new(ENGINES, SLOTS),
            granted: 0,
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            mail: Vec::new(),
            now: 0,
            number: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn post(&mut self, mail: Mail) {
        let late = match mail {
            Mail::Beat(_) => self.random.u64(1..=MAX_LATE_MS),
            _ => self.random.u64(1..=6),
        };
        if matches!(mail, Mail::Beat(_)) || self.random.f64() >= LOST {
            self.mail.push((self.now + late, mail));
        }
    }

    fn update(&mut self, instance: usize, target: TargetKey, number: Option<u64>, permit: u64) {
        let sender = &mut self.instances[instance];
        sender.sequence += 1;
        let (row, prefill) = sender.view.own_work(target, number, ms(self.now));
        let update = Update {
            ended: number.is_none(),
            permit,
            prefill,
            row,
            sequence: sender.sequence,
        };
        self.post(Mail::Update(instance, update));
    }

    /// New requests, repeated asks, callers that leave, requests that end and heartbeats of one instance.
    fn act(&mut self, instance: usize) {
        if self.now < END_MS - QUIET_MS && self.random.f64() < 0.015 {
            self.number += 1;
            let leaves = self.now + self.random.u64(20..1_500);
            let open = &mut self.instances[instance].open;
            open.insert(self.number, (self.now, leaves));
        }
        for (number, (due, leaves)) in self.instances[instance].open.clone() {
            if leaves <= self.now {
                self.instances[instance].open.remove(&number);
                self.post(Mail::Return(instance, number, 0));
            } else if due <= self.now {
                let open = &mut self.instances[instance].open;
                open.insert(number, (self.now + 30, leaves));
                let left = (leaves - self.now) as u32;
                let ask = Ask {
                    left_ms: left,
                    objective_ms: left,
                    priority: (number % 3) as u8,
                    ..ask(number)
                };
                self.post(Mail::Ask(instance, ask));
            }
        }
        let now = self.now;
        let running = &mut self.instances[instance].running;
        let ended: Vec<_> = running.extract_if(.., |(.., end)| *end <= now).collect();
        for (number, target, _) in ended {
            self.instances[instance].view.finish(number);
            self.update(instance, target, None, 0);
        }
        if (self.now + instance as u64 * 3).is_multiple_of(HEARTBEAT_MS) {
            let sender = &mut self.instances[instance];
            sender.sequence += 1;
            let heartbeat = Heartbeat {
                incarnation: instance as u64 + 1,
                instance: name(instance),
                prefills: sender.view.prefills(ms(self.now)),
                rows: sender.view.rows(),
                sequence: sender.sequence,
                ..Heartbeat::default()
            };
            self.post(Mail::Beat(Box::new(heartbeat)));
        }
    }

    fn deliver(&mut self) {
        let (now, at) = (self.now, ms(self.now));
        self.domain.now.set(at);
        let due: Vec<_> = self.mail.extract_if(.., |(at, _)| *at <= now).collect();
        let mut answers = Vec::new();
        for (_, mail) in due {
            let view = &self.domain.view;
            match mail {
                Mail::Ask(from, ask) => {
                    answers.extend(self.allocator.ask(asker(from), ask, &self.domain, at));
                }
                Mail::Beat(heartbeat) => {
                    view.borrow_mut().receive(&heartbeat, at);
                }
                Mail::Reply(answered) => self.reply(&answered),
                Mail::Return(from, number, permit) => {
                    self.allocator.cancel(asker(from), number);
                    view.borrow_mut().end_permit(permit);
                }
                Mail::Update(from, update) => {
                    let mut view = view.borrow_mut();
                    view.update(&name(from), from as u64 + 1, &update, at);
                    drop(view);
                    if update.ended {
                        answers.extend(self.allocator.free(&self.domain, at));
                    }
                }
            }
        }
        if now.is_multiple_of(10) {
            answers.extend(self.allocator.tick(&self.domain, at));
        }
        answers
            .into_iter()
            .for_each(|answered| self.post(Mail::Reply(answered)));
    }

    fn reply(&mut self, answered: &Answered) {
        let instance = answered.asker.incarnation as usize - 1;
        let open = &mut self.instances[instance].open;
        match &answered.reply {
            Reply::Grant { permit, target, .. } if open.remove(&answered.number).is_some() => {
                self.granted += 1;
                self.start(instance, *target, *permit);
            }
            Reply::Grant { permit, .. } => {
                self.post(Mail::Return(instance, answered.number, *permit));
            }
            Reply::Queued => {
                if let Some((due, _)) = open.get_mut(&answered.number) {
                    *due = self.now + 100;
                }
            }
            Reply::Refused { .. } | Reply::Elsewhere { .. } => {
                open.remove(&answered.number);
            }
        }
    }

    fn start(&mut self, instance: usize, target: TargetKey, permit: u64) {
        let run_ms = self.random.u64(5..200);
        let number = self.instances[instance].view.start(Work {
            background: false,
            gap: ms(250),
            held: false,
            helpers: Vec::new(),
            part_time: Duration::ZERO,
            primary: target,
            rank: 0,
            short: true,
            start: ms(self.now),
            tokens: 6_200,
        });
        let running = &mut self.instances[instance].running;
        running.push((number, target, self.now + run_ms));
        self.update(instance, target, Some(number), permit);
    }

    /// The largest number of requests that run at one engine.
    fn fullest(&self) -> usize {
        let running = || self.instances.iter().flat_map(|instance| &instance.running);
        let count = |key| running().filter(|(_, target, _)| *target == key).count();
        let counts = self.domain.engines.iter().map(|engine| count(engine.key));
        counts.max().unwrap_or(0)
    }
}

/// Load: 300 asks a second of 20 instances for 24 slots. No engine ever runs more requests than it has slots, most slots
/// are used, no request waits at the end and no slot stays taken.
#[test]
fn never_too_many() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        let mut most = 0;
        // The instances know each other before they ask.
        for instance in 0..INSTANCES {
            let heartbeat = Heartbeat {
                incarnation: instance as u64 + 1,
                instance: name(instance),
                ..Heartbeat::default()
            };
            simulation
                .domain
                .view
                .borrow_mut()
                .receive(&heartbeat, ms(0));
        }
        for now in 0..END_MS {
            simulation.now = now;
            simulation.deliver();
            (0..INSTANCES).for_each(|instance| simulation.act(instance));
            simulation.domain.view.borrow_mut().expire(ms(now));
            let fullest = simulation.fullest();
            assert!(
                fullest <= SLOTS as usize,
                "seed {seed}: {fullest} at {now} ms"
            );
            most = most.max(
                simulation
                    .instances
                    .iter()
                    .map(|instance| instance.running.len())
                    .sum(),
            );
        }
        println!(
            "seed {seed}: {} asks, {} granted, {most} at once",
            simulation.number, simulation.granted
        );
        assert!(simulation.granted > 300 && most >= 18);
        assert_eq!(simulation.allocator.waiting(), 0);
        assert!(simulation
            .instances
            .iter()
            .all(|instance| instance.open.is_empty()));
        let loads = simulation.domain.view.borrow().loads(ms(END_MS));
        assert!(loads.iter().all(|(_, load)| load.running == 0), "{loads:?}");
    }
}
