//! Specification of the gang protocol.
//!
//! Gangs reserve memory through the owners of two targets. Messages arrive in any order, late or never; a coordinator
//! dies at any step; an owner is replaced by one that knows no holds. Each engine keeps its handles until told to
//! delete them. One step of time is the interval of renewals, of expiry and of the owners' look at the handles.

use std::time::Duration;

use jujubehook::error::Kind;
use jujubehook::gang::{Action, Coordinator, Event, Guards, Holds, Part, Settings};

use crate::claim::{parallel, Job};
use crate::{search, Outcome, Spec};

/// Most states of one search.
const BOUND: usize = 400_000;

const DEADLINE: u64 = 3;
const HOLD: u64 = 2;
const MEMORY: u64 = 10;
const TARGETS: [&str; 2] = ["a", "b"];

/// Steps of time between the last word of a gang at an owner and the end of its memory: the hold, and one look.
const RECLAIM: u64 = HOLD + 1;

/// Coordinators, owners and engines.
#[derive(Clone, Debug)]
pub struct Gang {
    /// Whether coordinators may die.
    pub deaths: bool,
    /// Whether owners expire holds; off in a mutant.
    pub expire: bool,
    /// How many faults of all sorts there may be.
    pub faults: u8,
    /// The targets of each gang, in the order its plan gives them.
    pub gangs: Vec<[usize; 2]>,
    /// Whether messages may be lost.
    pub losses: bool,
    /// Whether owners delete handles that no hold claims; off in a mutant.
    pub orphans: bool,
    /// Whether owners may be replaced.
    pub replacements: bool,
    /// Settings of the coordinators.
    pub settings: Settings,
    /// Steps of time.
    pub time: u64,
}

/// A message in flight, between the coordinator of a gang and the owner of a target.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    Failed,
    Held,
    Hold,
    Prefill(u64),
    Prefilled(u64),
    Refused,
    Release,
    Renew,
    Renewed,
}

/// State of one gang.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Member {
    coordinator: Coordinator,
    dead: bool,
    refused: Option<Kind>,
    started: bool,
}

/// State of one target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Target {
    /// Handles on the engine, one for each gang at most.
    handles: Vec<u64>,
    holds: Holds,
    replaced: bool,
    /// When the owner last heard from each gang.
    touched: Vec<u64>,
}

/// State of the system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    faults: u8,
    flight: Vec<(Message, usize, usize)>,
    members: Vec<Member>,
    now: u64,
    targets: Vec<Target>,
}

impl Gang {
    fn act(&self, state: &mut State, gang: usize, actions: Vec<Action>) {
        for action in actions {
            let (message, part) = match action {
                Action::Decode => continue,
                Action::Fail { kind } => {
                    state.members[gang].refused = Some(kind);
                    continue;
                }
                Action::Hold { part } => (Message::Hold, part),
                Action::Prefill { part, from, to } => (Message::Prefill(to - from), part),
                Action::Release { part } => (Message::Release, part),
                Action::Renew { part } => (Message::Renew, part),
            };
            let target = self.target(&state.members[gang], part);
            state.flight.push((message, gang, target));
        }
        state.flight.sort();
    }

    fn deliver(&self, state: &State, index: usize, answered: bool) -> State {
        let mut next = state.clone();
        let (message, gang, target) = next.flight.remove(index);
        let id = gang as u64;
        let until = seconds(state.now + HOLD);
        let place = &mut next.targets[target];
        let answer = match message {
            Message::Hold => {
                place.touched[gang] = state.now;
                let free = place.holds.tokens() + MEMORY <= MEMORY;
                if free {
                    place.holds.hold(id, MEMORY, until);
                }
                Some(if free {
                    Message::Held
                } else {
                    Message::Refused
                })
            }
            Message::Prefill(tokens) => {
                // The owner forwards a prefill only under a hold.
                let held = place.holds.orphans(&[id]).is_empty();
                if held && !place.handles.contains(&id) {
                    place.handles.push(id);
                    place.handles.sort();
                }
                Some(if held {
                    Message::Prefilled(tokens)
                } else {
                    Message::Failed
                })
            }
            Message::Release => {
                place.holds.release(id);
                place.handles.retain(|handle| *handle != id);
                None
            }
            Message::Renew => {
                place.touched[gang] = state.now;
                Some(if place.holds.renew(id, until) {
                    Message::Renewed
                } else {
                    Message::Failed
                })
            }
            Message::Failed
            | Message::Held
            | Message::Prefilled(_)
            | Message::Refused
            | Message::Renewed => {
                self.tell(&mut next, gang, target, message);
                None
            }
        };
        if answered {
            next.flight
                .extend(answer.map(|answer| (answer, gang, target)));
            next.flight.sort();
        }
        next
    }

    /// Decoding takes any time; it ends by itself.
    fn finish(&self, state: &State, gang: usize) -> Option<State> {
        let mut next = state.clone();
        let over = state.members[gang].dead || state.members[gang].coordinator.is_ended();
        let actions = next.members[gang]
            .coordinator
            .handle(Event::Finished, seconds(state.now));
        if !next.members[gang].coordinator.is_ended() || over {
            return None;
        }
        self.act(&mut next, gang, actions);
        Some(next)
    }

    fn part(&self, member: &Member, target: usize) -> usize {
        member
            .coordinator
            .parts()
            .iter()
            .position(|part| part.target == TARGETS[target])
            .unwrap_or_default()
    }

    fn target(&self, member: &Member, part: usize) -> usize {
        let name = &member.coordinator.parts()[part].target;
        TARGETS
            .iter()
            .position(|target| target == name)
            .unwrap_or_default()
    }

    fn tell(&self, state: &mut State, gang: usize, target: usize, message: Message) {
        if state.members[gang].dead {
            return;
        }
        let part = self.part(&state.members[gang], target);
        let event = match message {
            Message::Held => Event::Held { part },
            Message::Prefilled(tokens) => Event::Prefilled { part, tokens },
            Message::Refused => Event::Refused { part },
            Message::Renewed => Event::Renewed { part },
            Message::Failed
            | Message::Hold
            | Message::Prefill(_)
            | Message::Release
            | Message::Renew => Event::Failed { part },
        };
        let actions = state.members[gang]
            .coordinator
            .handle(event, seconds(state.now));
        self.act(state, gang, actions);
    }

    fn tick(&self, state: &State) -> State {
        let mut next = state.clone();
        next.now += 1;
        let now = seconds(next.now);
        for gang in 0..next.members.len() {
            if !next.members[gang].dead {
                let actions = next.members[gang].coordinator.tick(now);
                self.act(&mut next, gang, actions);
            }
        }
        for target in &mut next.targets {
            // Only the age up to the bound matters, so that equal states compare equal.
            let horizon = next.now.saturating_sub(RECLAIM);
            target
                .touched
                .iter_mut()
                .for_each(|touched| *touched = horizon.max(*touched));
            if self.expire {
                target.holds.expire(now);
            }
            if self.orphans {
                let orphans = target.holds.orphans(&target.handles);
                target.handles.retain(|handle| !orphans.contains(handle));
            }
        }
        next
    }

    /// Whether nothing was lost, died or took time, so that only competition can refuse a gang.
    fn undisturbed(&self, state: &State) -> bool {
        state.faults == 0 && state.now == 0
    }
}

impl Spec for Gang {
    type State = State;

    fn start(&self) -> State {
        let member = |targets: &[usize; 2]| {
            let part = |target: &usize| Part {
                target: TARGETS[*target].into(),
                tokens: MEMORY,
            };
            let parts = targets.iter().map(part).collect();
            let coordinator =
                Coordinator::with_settings(parts, 2 * MEMORY, seconds(DEADLINE), self.settings);
            Member {
                coordinator,
                dead: false,
                refused: None,
                started: false,
            }
        };
        let target = || Target {
            handles: Vec::new(),
            holds: Holds::default(),
            replaced: false,
            touched: vec![0; self.gangs.len()],
        };
        State {
            faults: 0,
            flight: Vec::new(),
            members: self.gangs.iter().map(member).collect(),
            now: 0,
            targets: vec![target(), target()],
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (gang, member) in state.members.iter().enumerate() {
            if !member.started && state.now == 0 {
                let mut next = state.clone();
                next.members[gang].started = true;
                let actions = next.members[gang].coordinator.start(seconds(state.now));
                self.act(&mut next, gang, actions);
                steps.push((format!("gang {gang} starts"), next));
            }
            if self.deaths
                && state.faults < self.faults
                && !member.dead
                && member.started
                && !member.coordinator.is_ended()
            {
                let mut next = state.clone();
                next.faults += 1;
                next.members[gang].dead = true;
                steps.push((format!("coordinator {gang} dies"), next));
            }
            steps.extend(
                self.finish(state, gang)
                    .map(|next| (format!("gang {gang} finishes"), next)),
            );
        }
        for index in 0..state.flight.len() {
            let (message, gang, target) = state.flight[index];
            let label = format!("{message:?} of gang {gang} at {}", TARGETS[target]);
            steps.push((label.clone(), self.deliver(state, index, true)));
            if self.losses && state.faults < self.faults {
                let mut lost = state.clone();
                lost.faults += 1;
                lost.flight.remove(index);
                steps.push((format!("{label} is lost"), lost));
                let mut failed = self.deliver(state, index, false);
                failed.faults += 1;
                self.tell(&mut failed, gang, target, Message::Failed);
                steps.push((format!("{label} takes effect, the reply is lost"), failed));
            }
        }
        for (target, name) in TARGETS.iter().enumerate() {
            if self.replacements && state.faults < self.faults {
                let mut next = state.clone();
                next.faults += 1;
                next.targets[target].holds = Holds::default();
                next.targets[target].replaced = true;
                steps.push((format!("owner of {name} is replaced"), next));
            }
        }
        if state.now < self.time {
            steps.push(("time".into(), self.tick(state)));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        for target in &state.targets {
            if target.holds.tokens() > MEMORY {
                return Some("more memory held than there is".into());
            }
        }
        for (gang, member) in state.members.iter().enumerate() {
            let id = gang as u64;
            let live = member.started && !member.dead && !member.coordinator.is_ended();
            if live && state.now >= DEADLINE {
                return Some("a gang outlives its deadline".into());
            }
            let silent = !state.flight.iter().any(|(_, of, _)| *of == gang);
            for target in &state.targets {
                let held = target.holds.orphans(&[id]).is_empty();
                let used = target.handles.contains(&id);
                if !live && (held || used) && state.now >= target.touched[gang] + RECLAIM {
                    return Some("memory is held without a live gang".into());
                }
                // A release that overtakes its hold leaves the memory to the expiry, so the claim is for timely messages.
                let ended = member.coordinator.is_ended() && silent && self.undisturbed(state);
                if ended && (held || used) {
                    return Some("an ended gang released less than it held".into());
                }
                let running = live && member.coordinator.is_running();
                if running && !held && !target.replaced {
                    return Some("a gang goes on with memory that its owner gave up".into());
                }
            }
        }
        let all = state.members.iter().all(|member| member.refused.is_some());
        (all && state.members.len() > 1 && self.undisturbed(state))
            .then(|| "competing gangs refuse each other".into())
    }
}

/// Searches the specifications and their mutants.
pub fn specifications() -> Vec<(String, Outcome)> {
    let settings = Settings {
        chunk: MEMORY,
        guards: Guards::default(),
        hold: seconds(HOLD),
        renew: seconds(1),
    };
    let faults = Gang {
        deaths: true,
        expire: true,
        faults: 1,
        gangs: vec![[0, 1]],
        losses: true,
        orphans: true,
        replacements: true,
        settings,
        time: DEADLINE + RECLAIM,
    };
    let compete = Gang {
        faults: 0,
        gangs: vec![[0, 1], [1, 0]],
        time: 1,
        ..faults.clone()
    };
    let job = |spec: &Gang, change: fn(&mut Gang)| -> Job {
        let mut spec = spec.clone();
        change(&mut spec);
        Box::new(move || search(&spec, BOUND))
    };
    parallel(vec![
        ("gang compete", job(&compete, |_| {})),
        ("gang faults", job(&faults, |_| {})),
        (
            "gang compete, mutant order",
            job(&compete, |spec| spec.settings.guards.order = false),
        ),
        (
            "gang faults, mutant deadline",
            job(&faults, |spec| spec.settings.guards.deadline = false),
        ),
        (
            "gang faults, mutant expire",
            job(&faults, |spec| spec.expire = false),
        ),
        (
            "gang faults, mutant lapse",
            job(&faults, |spec| spec.settings.guards.lapse = false),
        ),
        (
            "gang faults, mutant orphans",
            job(&faults, |spec| spec.orphans = false),
        ),
        (
            "gang faults, mutant release",
            job(&faults, |spec| spec.settings.guards.release = false),
        ),
    ])
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
