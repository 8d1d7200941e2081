use std::time::Duration;

use serde_json::Value;
use smol::Timer;

use super::change::Change;
use super::replica::Replica;
use super::Error;
use crate::error::Executed;
use crate::id::Offset;
use crate::record::Verdict;

/// Maximum number of attempts to append an entry.
const MAX_ATTEMPTS: u32 = 5;

/// Pause after the first failed attempt; each further pause is longer by the same amount.
const PAUSE: Duration = Duration::from_millis(200);

/// Result of publishing a change.
#[derive(Debug)]
pub(super) enum Outcome {
    Accepted { offset: Offset },
    Rejected { reason: String },
}

/// Publishes a change. If the reply to an append is lost, the entry is found in the log by its content. Repeating an
/// append is harmless, since at most one of the entries has the current base.
pub(super) async fn publish(replica: &mut Replica, change: &Change) -> Result<Outcome, Error> {
    let mut appended = false;
    let mut last = String::new();
    let mut outcome = None;
    for attempt in 1..=MAX_ATTEMPTS {
        match replica.append(&change.entry).await {
            Ok(_) => appended = true,
            Err(error) => {
                appended |= error.executed() == Executed::Unknown;
                last = error.to_string();
            }
        }
        if appended {
            let observe = |offset, body: &str, verdict| {
                if same_json(body, &change.entry) {
                    outcome = Some(merge(outcome.take(), offset, verdict));
                }
            };
            if let Err(error) = replica.catch_up(observe).await {
                last = error.to_string();
            }
        }
        if let Some(outcome) = outcome {
            return Ok(outcome);
        }
        Timer::after(PAUSE * attempt).await;
    }
    let state = if appended {
        "it may be published"
    } else {
        "it is not published"
    };
    let (kind, name) = (change.kind, &change.name);
    Err(Error::Failed(format!("{kind} `{name}`: {last}; {state}")))
}

/// Combines the outcome so far with the verdict on another entry of the same content. An accepted entry takes
/// precedence, even if another operator published it, because it puts the same record in force.
fn merge(earlier: Option<Outcome>, offset: Offset, verdict: Verdict) -> Outcome {
    match (earlier, verdict) {
        (Some(accepted @ Outcome::Accepted { .. }), _) => accepted,
        (_, Verdict::Accepted { .. }) => Outcome::Accepted { offset },
        (Some(rejected), Verdict::Rejected { .. }) => rejected,
        (None, Verdict::Rejected { reason }) => Outcome::Rejected { reason },
    }
}

/// Whether two texts are equal or have the same JSON value.
fn same_json(a: &str, b: &str) -> bool {
    let parse = |text| serde_json::from_str::<Value>(text).ok();
    a == b || parse(a).is_some_and(|a| Some(a) == parse(b))
}
