use std::time::Duration;

use hdrhistogram::Histogram;

use super::outcome::{Call, Outcome, Verdict};
use super::report::{Failure, Point, Row, Sales, Second};
use crate::target::Class;

/// Longest recorded time; longer ones count as this.
const LONGEST: Duration = Duration::from_secs(600);

/// Significant figures of the recorded times.
const FIGURES: u8 = 3;

/// Classes of the report, in its order.
const CLASSES: [&str; 5] = ["short", "medium", "long", "question", "sale"];

/// Counts the outcomes of one class.
pub(super) fn row(class: &str, outcomes: &[Outcome]) -> Row {
    let own = || outcomes.iter().filter(|outcome| outcome.class() == class);
    let count = |matches: fn(&Verdict) -> bool| own().filter(|one| matches(&one.verdict)).count();
    let waits = histogram(own().filter_map(Outcome::wait));
    let gaps = histogram(own().flat_map(Outcome::gaps).copied());
    Row {
        arrivals: own().count(),
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

/// All classes that had arrivals.
pub(super) fn rows(outcomes: &[Outcome]) -> Vec<Row> {
    CLASSES
        .iter()
        .map(|class| row(class, outcomes))
        .filter(|row| row.arrivals > 0)
        .collect()
}

/// Errors by class and kind, sorted.
pub(super) fn faults(outcomes: &[Outcome]) -> Vec<Failure> {
    let mut faults: Vec<Failure> = Vec::new();
    for outcome in outcomes {
        let (kind, not_run) = match &outcome.verdict {
            Verdict::Failed(kind) => (kind, false),
            Verdict::Refused(kind) => (kind, true),
            Verdict::Late | Verdict::Ok | Verdict::Wrong => continue,
        };
        let key = (outcome.class(), kind.as_str(), not_run);
        match faults.binary_search_by(|fault| {
            (fault.class.as_str(), fault.kind.as_str(), fault.not_run).cmp(&key)
        }) {
            Ok(at) => faults[at].count += 1,
            Err(at) => faults.insert(
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
    faults
}

/// Times to first token by length.
pub(super) fn points(outcomes: &[Outcome]) -> Vec<Point> {
    let point = |outcome: &Outcome| match &outcome.call {
        Call::Prompt {
            first_token: Some(first),
            tokens,
            ..
        } => Some(Point {
            first_token: millis(*first),
            tokens: *tokens,
        }),
        Call::Prompt { .. } | Call::Question | Call::Sale { .. } => None,
    };
    outcomes.iter().filter_map(point).collect()
}

/// Compares what the callers of sales were told with `counts`: the executions by key, sorted.
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

/// Service by second of arrival.
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
    let mut histogram = Histogram::new_with_max(LONGEST.as_micros() as u64, FIGURES).ok()?;
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    Some(histogram)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// In ms; 0 if nothing was recorded.
fn quantile(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    histogram.as_ref().map_or(0.0, |histogram| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    })
}
