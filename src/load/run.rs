use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jujubehook_standin::text;
use serde_json::{json, Value};
use smol::Timer;

use super::arrival::{Arrival, Work};
use super::balancer::Balancer;
use super::fleet::{workspace_key, ONCE_CALL};
use super::outcome::{Call, Outcome, Verdict};
use super::prompt::prompt;
use super::{Answer, Caller};
use crate::target::Class;

/// How long before an arrival its prompt is built.
const LEAD: Duration = Duration::from_millis(20);

/// Deadline of a service call.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// Most requests in progress; arrivals beyond it are not sent and count as refused.
const OPEN_LIMIT: usize = 4_000;

/// An open-loop load generator: sends each arrival at its time, whether or not earlier ones have been answered.
pub(super) struct Run {
    pub(super) balancer: Arc<Balancer>,
    pub(super) callers: Vec<Caller>,
    pub(super) model: String,
}

impl Run {
    pub(super) fn new(entries: Vec<SocketAddr>, model: &str, workspaces: usize) -> Arc<Self> {
        let callers = (0..workspaces).map(|index| Caller::new(workspace_key(index)));
        Arc::new(Self {
            balancer: Balancer::start(entries),
            callers: callers.collect(),
            model: model.to_owned(),
        })
    }

    /// Sends all arrivals at their times and waits for their outcomes, which are in the same order.
    pub(super) async fn send_all(self: &Arc<Self>, arrivals: Vec<Arrival>) -> Vec<Outcome> {
        let start = Instant::now() + LEAD;
        let mut tasks = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            let due = start + arrival.at;
            Timer::at(due - LEAD).await;
            let run = self.clone();
            let is_full = Arc::strong_count(self) > OPEN_LIMIT;
            tasks.push(smol::spawn(async move {
                if is_full {
                    return refused(&arrival);
                }
                run.send(&arrival, due).await
            }));
        }
        let mut outcomes = Vec::with_capacity(tasks.len());
        for task in tasks {
            outcomes.push(task.await);
        }
        outcomes
    }

    async fn send(&self, arrival: &Arrival, due: Instant) -> Outcome {
        let entry = self.balancer.entry(arrival.entry);
        let caller = &self.callers[arrival.workspace];
        match arrival.work {
            Work::Prompt {
                generated,
                preamble,
                tokens,
            } => {
                let text = prompt(arrival, preamble, tokens);
                let class = Class::of(tokens);
                let deadline = prompt_deadline(class);
                Timer::at(due).await;
                let late = due.elapsed();
                let answer = caller
                    .complete(entry, &self.model, &text, generated, deadline)
                    .await;
                let is_correct = answer.text == text::response(&text, generated as usize)
                    && answer.count == Some(generated);
                let call = Call::Prompt {
                    class,
                    first_token: answer.first_token.map(|first| first + late),
                    gaps: answer.gaps.clone(),
                    tokens,
                };
                outcome(arrival, call, late, &answer, is_correct, deadline)
            }
            Work::Question => {
                Timer::at(due).await;
                let late = due.elapsed();
                let body = call_body(arrival);
                let answer = caller.call(entry, "ask", None, &body, CALL_DEADLINE).await;
                let is_correct = matches_call(&answer, "ask", &body);
                outcome(
                    arrival,
                    Call::Question,
                    late,
                    &answer,
                    is_correct,
                    CALL_DEADLINE,
                )
            }
            Work::Sale { issued } => self.sell(arrival, due, entry, issued).await,
        }
    }

    async fn sell(
        &self,
        arrival: &Arrival,
        due: Instant,
        entry: SocketAddr,
        issued: bool,
    ) -> Outcome {
        let caller = &self.callers[arrival.workspace];
        Timer::at(due).await;
        let body = call_body(arrival);
        let mut key = caller_key(arrival);
        if issued {
            match caller.request_key(entry).await {
                Ok(issued) => key = issued,
                Err(_) => {
                    let answer = Answer {
                        error: Some("no key".into()),
                        not_run: true,
                        ..Answer::default()
                    };
                    let late = due.elapsed();
                    let call = Call::Sale { key };
                    return outcome(arrival, call, late, &answer, false, CALL_DEADLINE);
                }
            }
        }
        let late = due.elapsed();
        let answer = caller
            .call(entry, ONCE_CALL, Some(&key), &body, CALL_DEADLINE)
            .await;
        let is_correct = matches_call(&answer, ONCE_CALL, &body);
        outcome(
            arrival,
            Call::Sale { key },
            late,
            &answer,
            is_correct,
            CALL_DEADLINE,
        )
    }
}

/// Deadline of a prompt.
pub(super) fn prompt_deadline(class: Class) -> Duration {
    match class {
        Class::Long => Duration::from_secs(120),
        Class::Medium => Duration::from_secs(20),
        Class::Short => Duration::from_secs(10),
    }
}

/// Body of a service call.
fn call_body(arrival: &Arrival) -> Value {
    json!({"nonce": format!("{:016x}", arrival.nonce), "workspace": arrival.workspace})
}

/// An idempotency key that the caller makes itself.
fn caller_key(arrival: &Arrival) -> String {
    let seconds = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs());
    format!("{seconds}-load-{:016x}", arrival.nonce)
}

/// Whether the service echoed the name and body of this call.
fn matches_call(answer: &Answer, name: &str, body: &Value) -> bool {
    let value: Value = serde_json::from_str(&answer.text).unwrap_or_default();
    value["name"] == name && value["body"] == *body
}

fn outcome(
    arrival: &Arrival,
    call: Call,
    late: Duration,
    answer: &Answer,
    is_correct: bool,
    deadline: Duration,
) -> Outcome {
    let total = late + answer.total;
    let verdict = match &answer.error {
        Some(kind) if answer.not_run => Verdict::Refused(kind.clone()),
        Some(kind) => Verdict::Failed(kind.clone()),
        None if !is_correct => Verdict::Wrong,
        None if total > deadline => Verdict::Late,
        None => Verdict::Ok,
    };
    Outcome {
        at: arrival.at,
        call,
        total,
        verdict,
    }
}

/// Outcome of an arrival that is not sent because too many requests are open; a server with that many requests in
/// progress would refuse it too.
fn refused(arrival: &Arrival) -> Outcome {
    let answer = Answer {
        error: Some("generator full".into()),
        not_run: true,
        ..Answer::default()
    };
    let call = match arrival.work {
        Work::Prompt { tokens, .. } => Call::Prompt {
            class: Class::of(tokens),
            first_token: None,
            gaps: Vec::new(),
            tokens,
        },
        Work::Question => Call::Question,
        Work::Sale { .. } => Call::Sale {
            key: caller_key(arrival),
        },
    };
    outcome(arrival, call, Duration::ZERO, &answer, false, CALL_DEADLINE)
}
