//! Specification of a request that may run once, and of targets that refuse it, run it, lose the connection, or write an
//! earlier refusal once more.

use http::StatusCode;
use jujubehook::entry::proof::{Echo, Evidence, Guards, Verdict};

use crate::{search, Case, Outcome, Spec};

/// A status that no target may write.
const INVALID_STATUS: u16 = 600;

/// Upper bound on the states of one search.
const MAX_STATES: usize = 100_000;

/// A caller's request in front of some targets.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Guards of the instance.
    pub guards: Guards,
    /// Maximum number of sends.
    pub max_sends: usize,
    /// Number of targets.
    pub targets: usize,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Answer,
    NotRun,
    Nothing,
    Unknown,
}

/// The request at the instance and at the targets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// The first answer on the connection of the current send.
    answer: Option<Evidence>,
    /// Status that the caller got.
    delivered: Option<StatusCode>,
    /// Targets that the instance believes to have refused the request.
    believed: Vec<usize>,
    /// Whether each target refused the request, and so may write that refusal again.
    refused: Vec<bool>,
    runs: usize,
    sends: usize,
    /// Target of the current send.
    sent_to: Option<usize>,
    told: Told,
}

impl Default for Refusal {
    fn default() -> Self {
        Self {
            guards: Guards::default(),
            max_sends: 3,
            targets: 2,
        }
    }
}

/// A refusal that states "not run".
const fn refusal(echo: Echo) -> Evidence {
    Evidence {
        echo,
        not_run: true,
        signed: false,
        status: StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// A status beyond those that exist, and a statement that the request was not run.
fn invalid() -> Option<Evidence> {
    let status = StatusCode::from_u16(INVALID_STATUS).ok()?;
    Some(Evidence {
        status,
        ..refusal(Echo::Same)
    })
}

/// A signed answer to the request.
const fn answer(status: StatusCode) -> Evidence {
    Evidence {
        echo: Echo::Same,
        not_run: false,
        signed: true,
        status,
    }
}

impl Refusal {
    /// Searches all states.
    pub fn run(&self) -> Outcome {
        search(self, MAX_STATES)
    }

    fn send_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let mut next = state.clone();
        next.told = Told::NotRun;
        steps.push(("refuse".into(), next));
        for target in 0..self.targets {
            let is_excluded = state.believed.contains(&target) && !self.guards.allow_resend(false);
            if state.sends == self.max_sends || is_excluded {
                continue;
            }
            let mut next = state.clone();
            next.sends += 1;
            next.sent_to = Some(target);
            steps.push((format!("send to {target}"), next));
        }
    }

    fn target_steps(&self, state: &State, target: usize, steps: &mut Vec<(String, State)>) {
        let mut next = state.clone();
        next.refused[target] = true;
        next.answer = Some(refusal(Echo::Same));
        steps.push((format!("{target} refuses"), next));
        for runs in [0, 1] {
            let mut next = state.clone();
            next.runs += runs;
            next.sent_to = None;
            next.told = Told::Unknown;
            steps.push((format!("connection to {target} breaks, {runs} runs"), next));
        }
        let mut answers = vec![
            answer(StatusCode::OK),
            answer(StatusCode::SERVICE_UNAVAILABLE),
            answer(StatusCode::INTERNAL_SERVER_ERROR),
            refusal(Echo::Missing),
            refusal(Echo::Other),
        ];
        let unstated = invalid().map(|invalid| Evidence {
            not_run: false,
            ..invalid
        });
        answers.extend(invalid().into_iter().chain(unstated));
        if state.refused[target] {
            answers.push(refusal(Echo::Same));
        }
        for answer in answers {
            let mut next = state.clone();
            next.runs += 1;
            next.answer = Some(answer);
            steps.push((format!("{target} runs and writes {answer:?}"), next));
        }
    }

    /// The instance reads the first answer on the connection.
    fn read(&self, state: &State, target: usize, answer: Evidence) -> State {
        let mut next = state.clone();
        (next.answer, next.sent_to) = (None, None);
        match answer.verdict(self.guards) {
            Verdict::Answer => {
                next.told = Told::Answer;
                next.delivered = Some(answer.status);
            }
            Verdict::Foreign | Verdict::Unproven => next.told = Told::Unknown,
            Verdict::NotRun => next.believed.push(target),
        }
        next
    }
}

impl Spec for Refusal {
    type State = State;

    fn start(&self) -> State {
        State {
            answer: None,
            delivered: None,
            believed: Vec::new(),
            refused: vec![false; self.targets],
            runs: 0,
            sends: 0,
            sent_to: None,
            told: Told::Nothing,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        match (state.told, state.sent_to, state.answer) {
            (Told::Nothing, None, _) => self.send_steps(state, &mut steps),
            (Told::Nothing, Some(target), None) => self.target_steps(state, target, &mut steps),
            (Told::Nothing, Some(target), Some(answer)) => {
                steps.push(("read".into(), self.read(state, target, answer)));
            }
            (Told::Answer | Told::NotRun | Told::Unknown, _, _) => {}
        }
        steps
    }

    /// The request runs at most once, and not at all if the caller was told so.
    fn violation(&self, state: &State) -> Option<String> {
        if state.runs > 1 {
            return Some("the request ran twice".into());
        }
        let is_false = state.told == Told::NotRun && state.runs > 0;
        let is_invalid = |status: StatusCode| status.as_u16() >= INVALID_STATUS;
        if is_false {
            return Some("the caller was told that the request was not run".into());
        }
        state
            .delivered
            .is_some_and(is_invalid)
            .then(|| "the caller got a status that does not exist".into())
    }
}

/// The specifications with all guards, and a mutant without each guard.
pub fn cases() -> Vec<Case> {
    let real = |name: &str, spec: Refusal| Case::real(name, move || spec.run());
    let mutant = |name: &str, guards: Guards| {
        let spec = Refusal {
            guards,
            ..Refusal::default()
        };
        Case::mutant(name, move || spec.run())
    };
    let all = Guards::default();
    vec![
        real("refusal, two targets", Refusal::default()),
        real(
            "refusal, one target",
            Refusal {
                targets: 1,
                ..Refusal::default()
            },
        ),
        mutant("refusal without echo", Guards { echo: false, ..all }),
        mutant(
            "refusal without once_per_target",
            Guards {
                once_per_target: false,
                ..all
            },
        ),
        mutant(
            "refusal without status",
            Guards {
                status: false,
                ..all
            },
        ),
        mutant(
            "refusal without stated",
            Guards {
                stated: false,
                ..all
            },
        ),
    ]
}
