use std::time::Duration;

use hdrhistogram::Histogram;

use super::outcome::{Call, Outcome, Verdict};
use super::report::{Failure, Point, Row, Sales, Second};
use crate::target::Class;

/// Longest recorded time; longer ones are clamped to it.
const MAX_TIME: Duration = Duration::from_secs(600);

/// Significant figures of the recorded times.
const SIGNIFICANT_FIGURES: u8 = 3;

/// Classes in the order of the report.
const CLASSES: [&str; 5] = ["short", "medium", "long", "question", "sale"];

/// Summarizes the outcomes of one class.
pub(super) fn row(class: &str, outcomes: &[Outcome]) -> Row {
    let in_class = || outcomes.iter().filter(|outcome| outcome.class() == class);
    let count = |matches: fn(&Verdict) -> bool| {
        in_class()
            .filter(|outcome| matches(&outcome.verdict))
            .count()
    };
    let waits = histogram(in_class().filter_map(Outcome::wait));
    let gaps = histogram(in_class().flat_map(Outcome::gaps).copied());
    Row {
        arrivals: in_class().count(),
        class: class.to_owned(),
        failed: count(|verdict| matches!(verdict, Verdict::Failed(_))),
        late: count(|verdict| matches!(verdict, Verdict::Late)),
        ok: count(|verdict| matches!(verdict, Verdict::Ok)),
        refused: count(|verdict| matches!(verdict, Verdict::Refused(_))),
        token_gap_p95: quantile(&gaps, 0.95),
        wait_p50: quantile(&waits, 0.50),
        wait_p95: quantile(&waits, 0.95),
        wait_p99: quantile(&waits, 0.99),
        wrong: count(|verdict| matches!(verdict, Verdict::Wrong)),
    }
}

/// One row for each class that had arrivals.
pub(super) fn rows(outcomes: &[Outcome]) -> Vec<Row> {
    CLASSES
        .iter()
        .map(|class| row(class, outcomes))
        .filter(|row| row.arrivals > 0)
        .collect()
}

/// Failures and refusals by class and kind, sorted.
pub(super) fn failures(outcomes: &[Outcome]) -> Vec<Failure> {
    let mut failures: Vec<Failure> = Vec::new();
    for outcome in outcomes {
        let (kind, not_run) = match &outcome.verdict {
            Verdict::Failed(kind) => (kind, false),
            Verdict::Refused(kind) => (kind, true),
            Verdict::Late | Verdict::Ok | Verdict::Wrong => continue,
        };
        let key = (outcome.class(), kind.as_str(), not_run);
        match failures.binary_search_by(|failure| {
            (
                failure.class.as_str(),
                failure.kind.as_str(),
                failure.not_run,
            )
                .cmp(&key)
        }) {
            Ok(at) => failures[at].count += 1,
            Err(at) => failures.insert(
                at,
                Failure {
                    class: key.0.to_owned(),
                    count: 1,
                    kind: kind.clone(),
                    not_run,
                },
            ),
        }
    }
    failures
}

/// Prompt length and time to first token of every prompt that got one.
pub(super) fn points(outcomes: &[Outcome]) -> Vec<Point> {
    let point = |outcome: &Outcome| match &outcome.call {
        Call::Prompt {
            first_token: Some(first),
            tokens,
            ..
        } => Some(Point {
            first_token: to_ms(*first),
            tokens: *tokens,
        }),
        Call::Prompt { .. } | Call::Question | Call::Sale { .. } => None,
    };
    outcomes.iter().filter_map(point).collect()
}

/// Compares the answers to the sales with `counts`, the number of executions of each key, sorted by key.
pub(super) fn sales(outcomes: &[Outcome], counts: Option<&[(String, u64)]>) -> Sales {
    let mut sales = Sales::default();
    for outcome in outcomes {
        let Call::Sale { key } = &outcome.call else {
            continue;
        };
        let count = counts.map(|counts| {
            counts
                .binary_search_by(|(known, _)| known.cmp(key))
                .map_or(0, |at| counts[at].1)
        });
        match &outcome.verdict {
            Verdict::Late | Verdict::Ok => {
                sales.committed += 1;
                sales.lost += usize::from(count == Some(0));
            }
            Verdict::Refused(_) => sales.false_refusals += usize::from(count > Some(0)),
            Verdict::Failed(_) | Verdict::Wrong => sales.unknown += 1,
        }
        sales.doubled += usize::from(count > Some(1));
    }
    sales
}

/// Counts by second of arrival.
pub(super) fn timeline(outcomes: &[Outcome]) -> Vec<Second> {
    let mut seconds: Vec<Second> = Vec::new();
    for outcome in outcomes {
        let at = outcome.at.as_secs() as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, Second::default());
        }
        let second = &mut seconds[at];
        second.arrivals += 1;
        match &outcome.verdict {
            Verdict::Ok => {
                second.ok += 1;
                second.committed += usize::from(matches!(outcome.call, Call::Sale { .. }));
            }
            Verdict::Refused(_) => second.refused += 1,
            Verdict::Failed(_) | Verdict::Late | Verdict::Wrong => {}
        }
    }
    seconds
}

impl Outcome {
    fn class(&self) -> &'static str {
        match &self.call {
            Call::Prompt { class, .. } => Class::name(*class),
            Call::Question => "question",
            Call::Sale { .. } => "sale",
        }
    }

    fn gaps(&self) -> &[Duration] {
        match &self.call {
            Call::Prompt { gaps, .. } => gaps,
            Call::Question | Call::Sale { .. } => &[],
        }
    }

    /// Time to the first token of a prompt, or to the complete answer of a service call.
    fn wait(&self) -> Option<Duration> {
        match &self.call {
            Call::Prompt { first_token, .. } => *first_token,
            Call::Question | Call::Sale { .. } => match self.verdict {
                Verdict::Late | Verdict::Ok => Some(self.total),
                Verdict::Failed(_) | Verdict::Refused(_) | Verdict::Wrong => None,
            },
        }
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Option<Histogram<u64>> {
    let mut histogram =
        Histogram::new_with_max(MAX_TIME.as_micros() as u64, SIGNIFICANT_FIGURES).ok()?;
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    Some(histogram)
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// A quantile in ms; 0 if nothing was recorded.
fn quantile(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    histogram.as_ref().map_or(0.0, |histogram| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    })
}
