//! Specification of the gang protocol.
//!
//! Gangs reserve memory through the owners of two targets. Messages arrive in any order, late or never; a coordinator
//! crashes at any step; an owner is replaced by one that knows no holds. Each engine keeps its handles until told to
//! delete them. In each unit of time, coordinators renew their holds, and owners expire holds and check the handles.

use std::time::Duration;

use jujubehook::error::Kind;
use jujubehook::gang::{Action, Coordinator, Event, Guards, Holds, Part, Settings};

use crate::claim::{run_in_parallel, Search};
use crate::{search, Outcome, Spec};

/// Upper bound on the states of one search.
const MAX_STATES: usize = 400_000;

/// Deadline of each gang, in units of time.
const DEADLINE: u64 = 3;
/// Time after which an owner expires a hold that is not renewed, in units of time.
const HOLD_TIME: u64 = 2;
/// Memory of each target, all of which each part of a gang needs.
const MEMORY_TOKENS: u64 = 10;
const TARGETS: [&str; 2] = ["a", "b"];

/// Units of time from the last hold or renewal of a gang at an owner until its memory is free: the hold time and one
/// check of the handles.
const RECLAIM_TIME: u64 = HOLD_TIME + 1;

/// Coordinators of gangs, and the owners and engines of two targets.
#[derive(Clone, Debug)]
pub struct Gang {
    /// Whether coordinators may crash.
    pub crashes: bool,
    /// Whether owners delete handles without a hold; off in a mutant.
    pub delete_orphans: bool,
    /// Whether owners expire holds; off in a mutant.
    pub expire_holds: bool,
    /// The targets of each gang, in the order of its plan.
    pub gangs: Vec<[usize; 2]>,
    /// Whether messages may be lost.
    pub losses: bool,
    /// Number of faults of all kinds that may occur.
    pub max_faults: u8,
    /// Units of time that may pass.
    pub max_time: u64,
    /// Whether owners may be replaced.
    pub replacements: bool,
    /// Settings of the coordinators.
    pub settings: Settings,
}

/// A message between the coordinator of a gang and the owner of a target.
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

/// Execution of one gang.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Run {
    coordinator: Coordinator,
    crashed: bool,
    refused: Option<Kind>,
    started: bool,
}

/// State of one target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Target {
    /// Handles on the engine, one for each gang at most.
    handles: Vec<u64>,
    holds: Holds,
    /// When the owner last received a hold or a renewal of each gang.
    last_heard: Vec<u64>,
    replaced: bool,
}

/// State of the gangs, the targets and the messages.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    faults: u8,
    /// Messages in flight, each with its gang and its target.
    in_flight: Vec<(Message, usize, usize)>,
    now: u64,
    runs: Vec<Run>,
    targets: Vec<Target>,
}

impl Gang {
    /// Carries out the actions of a coordinator.
    fn run_actions(&self, state: &mut State, gang: usize, actions: Vec<Action>) {
        for action in actions {
            let (message, part) = match action {
                Action::Decode => continue,
                Action::Fail { kind } => {
                    state.runs[gang].refused = Some(kind);
                    continue;
                }
                Action::Hold { part } => (Message::Hold, part),
                Action::Prefill { part, from, to } => (Message::Prefill(to - from), part),
                Action::Release { part } => (Message::Release, part),
                Action::Renew { part } => (Message::Renew, part),
            };
            let target = self.target(&state.runs[gang], part);
            state.in_flight.push((message, gang, target));
        }
        state.in_flight.sort();
    }

    /// The state after a message arrives; without `answered` its reply is lost.
    fn deliver(&self, state: &State, index: usize, answered: bool) -> State {
        let mut next = state.clone();
        let (message, gang, target) = next.in_flight.remove(index);
        let id = gang as u64;
        let until = seconds(state.now + HOLD_TIME);
        let owner = &mut next.targets[target];
        let answer = match message {
            Message::Hold => {
                owner.last_heard[gang] = state.now;
                let free = owner.holds.tokens() + MEMORY_TOKENS <= MEMORY_TOKENS;
                if free {
                    owner.holds.hold(id, MEMORY_TOKENS, until);
                }
                Some(if free {
                    Message::Held
                } else {
                    Message::Refused
                })
            }
            Message::Prefill(tokens) => {
                // The owner forwards a prefill only under a hold.
                let held = owner.holds.orphans(&[id]).is_empty();
                if held && !owner.handles.contains(&id) {
                    owner.handles.push(id);
                    owner.handles.sort();
                }
                Some(if held {
                    Message::Prefilled(tokens)
                } else {
                    Message::Failed
                })
            }
            Message::Release => {
                owner.holds.release(id);
                owner.handles.retain(|handle| *handle != id);
                None
            }
            Message::Renew => {
                owner.last_heard[gang] = state.now;
                Some(if owner.holds.renew(id, until) {
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
                self.notify(&mut next, gang, target, message);
                None
            }
        };
        if answered {
            next.in_flight
                .extend(answer.map(|answer| (answer, gang, target)));
            next.in_flight.sort();
        }
        next
    }

    /// The state after a gang finishes decoding, which may take any time.
    fn finish(&self, state: &State, gang: usize) -> Option<State> {
        let mut next = state.clone();
        let is_over = state.runs[gang].crashed || state.runs[gang].coordinator.is_ended();
        let actions = next.runs[gang]
            .coordinator
            .handle(Event::Finished, seconds(state.now));
        if !next.runs[gang].coordinator.is_ended() || is_over {
            return None;
        }
        self.run_actions(&mut next, gang, actions);
        Some(next)
    }

    /// Index of the part of a gang at a target.
    fn part(&self, run: &Run, target: usize) -> usize {
        run.coordinator
            .parts()
            .iter()
            .position(|part| part.target == TARGETS[target])
            .unwrap_or_default()
    }

    /// Index of the target of a part.
    fn target(&self, run: &Run, part: usize) -> usize {
        let name = &run.coordinator.parts()[part].target;
        TARGETS
            .iter()
            .position(|target| target == name)
            .unwrap_or_default()
    }

    /// Passes a reply, or a failure, to the coordinator of a gang.
    fn notify(&self, state: &mut State, gang: usize, target: usize, message: Message) {
        if state.runs[gang].crashed {
            return;
        }
        let part = self.part(&state.runs[gang], target);
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
        let actions = state.runs[gang]
            .coordinator
            .handle(event, seconds(state.now));
        self.run_actions(state, gang, actions);
    }

    /// The state after one unit of time.
    fn tick(&self, state: &State) -> State {
        let mut next = state.clone();
        next.now += 1;
        let now = seconds(next.now);
        for gang in 0..next.runs.len() {
            if !next.runs[gang].crashed {
                let actions = next.runs[gang].coordinator.tick(now);
                self.run_actions(&mut next, gang, actions);
            }
        }
        for target in &mut next.targets {
            // Ages beyond RECLAIM_TIME make no difference; capping them lets equal states compare equal.
            let oldest = next.now.saturating_sub(RECLAIM_TIME);
            target
                .last_heard
                .iter_mut()
                .for_each(|last_heard| *last_heard = oldest.max(*last_heard));
            if self.expire_holds {
                target.holds.expire(now);
            }
            if self.delete_orphans {
                let orphans = target.holds.orphans(&target.handles);
                target.handles.retain(|handle| !orphans.contains(handle));
            }
        }
        next
    }

    /// Whether no fault has occurred and no time has passed, so that only another gang can cause a refusal.
    fn is_fault_free(&self, state: &State) -> bool {
        state.faults == 0 && state.now == 0
    }
}

impl Spec for Gang {
    type State = State;

    fn start(&self) -> State {
        let run = |targets: &[usize; 2]| {
            let part = |target: &usize| Part {
                target: TARGETS[*target].into(),
                tokens: MEMORY_TOKENS,
            };
            let parts = targets.iter().map(part).collect();
            let coordinator = Coordinator::with_settings(
                parts,
                2 * MEMORY_TOKENS,
                seconds(DEADLINE),
                self.settings,
            );
            Run {
                coordinator,
                crashed: false,
                refused: None,
                started: false,
            }
        };
        let target = || Target {
            handles: Vec::new(),
            holds: Holds::default(),
            last_heard: vec![0; self.gangs.len()],
            replaced: false,
        };
        State {
            faults: 0,
            in_flight: Vec::new(),
            now: 0,
            runs: self.gangs.iter().map(run).collect(),
            targets: vec![target(), target()],
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (gang, run) in state.runs.iter().enumerate() {
            if !run.started && state.now == 0 {
                let mut next = state.clone();
                next.runs[gang].started = true;
                let actions = next.runs[gang].coordinator.start(seconds(state.now));
                self.run_actions(&mut next, gang, actions);
                steps.push((format!("gang {gang} starts"), next));
            }
            if self.crashes
                && state.faults < self.max_faults
                && !run.crashed
                && run.started
                && !run.coordinator.is_ended()
            {
                let mut next = state.clone();
                next.faults += 1;
                next.runs[gang].crashed = true;
                steps.push((format!("coordinator {gang} dies"), next));
            }
            steps.extend(
                self.finish(state, gang)
                    .map(|next| (format!("gang {gang} finishes"), next)),
            );
        }
        for index in 0..state.in_flight.len() {
            let (message, gang, target) = state.in_flight[index];
            let label = format!("{message:?} of gang {gang} at {}", TARGETS[target]);
            steps.push((label.clone(), self.deliver(state, index, true)));
            if self.losses && state.faults < self.max_faults {
                let mut lost = state.clone();
                lost.faults += 1;
                lost.in_flight.remove(index);
                steps.push((format!("{label} is lost"), lost));
                let mut failed = self.deliver(state, index, false);
                failed.faults += 1;
                self.notify(&mut failed, gang, target, Message::Failed);
                steps.push((format!("{label} takes effect, the reply is lost"), failed));
            }
        }
        for (target, name) in TARGETS.iter().enumerate() {
            if self.replacements && state.faults < self.max_faults {
                let mut next = state.clone();
                next.faults += 1;
                next.targets[target].holds = Holds::default();
                next.targets[target].replaced = true;
                steps.push((format!("owner of {name} is replaced"), next));
            }
        }
        if state.now < self.max_time {
            steps.push(("time".into(), self.tick(state)));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        for target in &state.targets {
            if target.holds.tokens() > MEMORY_TOKENS {
                return Some("more memory is held than the target has".into());
            }
        }
        for (gang, run) in state.runs.iter().enumerate() {
            let id = gang as u64;
            let live = run.started && !run.crashed && !run.coordinator.is_ended();
            if live && state.now >= DEADLINE {
                return Some("a gang runs beyond its deadline".into());
            }
            let none_in_flight = !state.in_flight.iter().any(|(_, of, _)| *of == gang);
            for target in &state.targets {
                let held = target.holds.orphans(&[id]).is_empty();
                let used = target.handles.contains(&id);
                if !live && (held || used) && state.now >= target.last_heard[gang] + RECLAIM_TIME {
                    return Some("memory is still held after its gang ended or crashed".into());
                }
                // A release that arrives before its hold leaves the memory held until the hold expires, so this is
                // checked only while no fault has occurred and no time has passed.
                let ended =
                    run.coordinator.is_ended() && none_in_flight && self.is_fault_free(state);
                if ended && (held || used) {
                    return Some("an ended gang has not released all of its memory".into());
                }
                let running = live && run.coordinator.is_running();
                if running && !held && !target.replaced {
                    return Some("a gang still runs after an owner gave up its hold".into());
                }
            }
        }
        let all_refused = state.runs.iter().all(|run| run.refused.is_some());
        (all_refused && state.runs.len() > 1 && self.is_fault_free(state))
            .then(|| "competing gangs refuse each other".into())
    }
}

/// Searches the specifications and their mutants; returns each name with its outcome.
pub fn specifications() -> Vec<(String, Outcome)> {
    let settings = Settings {
        chunk: MEMORY_TOKENS,
        guards: Guards::default(),
        hold: seconds(HOLD_TIME),
        renew: seconds(1),
    };
    let faults = Gang {
        crashes: true,
        delete_orphans: true,
        expire_holds: true,
        gangs: vec![[0, 1]],
        losses: true,
        max_faults: 1,
        max_time: DEADLINE + RECLAIM_TIME,
        replacements: true,
        settings,
    };
    let compete = Gang {
        gangs: vec![[0, 1], [1, 0]],
        max_faults: 0,
        max_time: 1,
        ..faults.clone()
    };
    let search_of = |spec: &Gang, modify: fn(&mut Gang)| -> Search {
        let mut spec = spec.clone();
        modify(&mut spec);
        Box::new(move || search(&spec, MAX_STATES))
    };
    run_in_parallel(vec![
        ("gang compete", search_of(&compete, |_| {})),
        ("gang faults", search_of(&faults, |_| {})),
        (
            "gang compete, mutant order",
            search_of(&compete, |spec| spec.settings.guards.order = false),
        ),
        (
            "gang faults, mutant deadline",
            search_of(&faults, |spec| spec.settings.guards.deadline = false),
        ),
        (
            "gang faults, mutant expire",
            search_of(&faults, |spec| spec.expire_holds = false),
        ),
        (
            "gang faults, mutant lapse",
            search_of(&faults, |spec| spec.settings.guards.lapse = false),
        ),
        (
            "gang faults, mutant orphans",
            search_of(&faults, |spec| spec.delete_orphans = false),
        ),
        (
            "gang faults, mutant release",
            search_of(&faults, |spec| spec.settings.guards.release = false),
        ),
    ])
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
