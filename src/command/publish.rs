use std::time::Duration;

use serde_json::Value;
use smol::Timer;

use super::change::Change;
use super::force::Force;
use super::Error;
use crate::error::Executed;
use crate::id::Offset;
use crate::record::Verdict;

/// Attempts to append one entry before giving up.
const ATTEMPTS: u32 = 5;

/// Pause after the first failed attempt; it grows by the same amount with each further one.
const PAUSE: Duration = Duration::from_millis(200);

/// What became of a change.
#[derive(Debug)]
pub(super) enum Outcome {
    Accepted { offset: Offset },
    Rejected { reason: String },
}

/// Publishes a change. An append whose reply was lost is found in the log by its content, and a repeated append is
/// harmless: at most one of the entries has the current base.
pub(super) async fn publish(force: &mut Force, change: &Change) -> Result<Outcome, Error> {
    let mut appended = false;
    let mut last = String::new();
    let mut outcome = None;
    for attempt in 1..=ATTEMPTS {
        match force.append(&change.entry).await {
            Ok(_) => appended = true,
            Err(error) => {
                appended |= error.executed() == Executed::Unknown;
                last = error.to_string();
            }
        }
        if appended {
            let see = |offset, body: &str, verdict| {
                if same(body, &change.entry) {
                    outcome = Some(merge(outcome.take(), offset, verdict));
                }
            };
            if let Err(error) = force.catch_up(see).await {
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

/// Adds the verdict on one more entry of the same content. Accepted wins, also if another operator published it, because
/// it puts the same record in force.
fn merge(earlier: Option<Outcome>, offset: Offset, verdict: Verdict) -> Outcome {
    match (earlier, verdict) {
        (Some(accepted @ Outcome::Accepted { .. }), _) => accepted,
        (_, Verdict::Accepted { .. }) => Outcome::Accepted { offset },
        (Some(rejected), Verdict::Rejected { .. }) => rejected,
        (None, Verdict::Rejected { reason }) => Outcome::Rejected { reason },
    }
}

fn same(a: &str, b: &str) -> bool {
    let parse = |text| serde_json::from_str::<Value>(text).ok();
    a == b || parse(a).is_some_and(|a| Some(a) == parse(b))
}
