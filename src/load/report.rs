use serde::Serialize;

use super::usage::Usage;

/// Result of a measurement. Times count from the intended arrival, not from the actual send.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row for each class of prompt and each kind of service call.
    pub classes: Vec<Row>,
    /// Rate of control bytes; zero if no instance has metrics.
    pub control: Control,
    /// Refusals and failures by kind.
    pub errors: Vec<Failure>,
    /// Offered prompt tokens per second.
    pub offered_tokens: f64,
    /// Prompt lengths and times to first token.
    #[serde(skip)]
    pub points: Vec<Point>,
    /// Sales, as seen by the callers and by the services.
    pub sales: Sales,
    /// Counts of the engines; zero without an embedded fleet.
    pub targets: Targets,
    /// Counts for each second of the load.
    pub timeline: Vec<Second>,
    /// Resources used by this process: by the callers and by the embedded fleet.
    pub usage: Usage,
}

/// Outcomes of one class of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Number of arrivals.
    pub arrivals: usize,
    /// Class of prompt, `question` or `sale`.
    pub class: String,
    /// Errors that do not rule out that the request was run.
    pub failed: usize,
    /// Correct answers after the deadline.
    pub late: usize,
    /// Correct answers in time.
    pub ok: usize,
    /// Errors that state that the request was not run.
    pub refused: usize,
    /// Time between tokens, 95th percentile, in ms.
    pub token_gap_p95: f64,
    /// Time to first token, or to the complete answer of a service call, 50th percentile, in ms.
    pub wait_p50: f64,
    /// The same, 95th percentile, in ms.
    pub wait_p95: f64,
    /// The same, 99th percentile, in ms.
    pub wait_p99: f64,
    /// Complete answers that do not match their request.
    pub wrong: usize,
}

/// Control bytes that the instances sent during the measured load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Control {
    /// Bytes/s of the instance that sent the most.
    pub max: f64,
    /// Mean bytes/s of an instance.
    pub mean: f64,
}

/// Requests of one class that ended with one kind of error.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// Class of prompt, `question` or `sale`.
    pub class: String,
    /// Number of requests.
    pub count: usize,
    /// Kind of error.
    pub kind: String,
    /// Whether the error states that the request was not run.
    pub not_run: bool,
}

/// Length and time to first token of one prompt.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Time to first token in ms.
    pub first_token: f64,
    /// Length of the prompt in tokens.
    pub tokens: u64,
}

/// Outcomes of the sales, as the callers and the services saw them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sales {
    /// Sales that were confirmed to the caller.
    pub committed: usize,
    /// Sales that were run more than once.
    pub doubled: usize,
    /// Sales that were run although the caller was told that they were not.
    pub false_refusals: usize,
    /// Confirmed sales that no service ran.
    pub lost: usize,
    /// Sales whose outcome the caller does not know.
    pub unknown: usize,
}

/// Outcomes of the arrivals of one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Number of arrivals.
    pub arrivals: usize,
    /// Sales that were confirmed in time.
    pub committed: usize,
    /// Arrivals that got a correct answer in time.
    pub ok: usize,
    /// Arrivals that got an error that states that the request was not run.
    pub refused: usize,
}

/// Counts of the engines.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Targets {
    /// Crashes under load while cold.
    pub crashes: u64,
    /// Most streams open at a time on a cold engine.
    pub peak_cold: u64,
}

impl Report {
    /// The row of a class.
    pub fn row(&self, class: &str) -> Option<&Row> {
        self.classes.iter().find(|row| row.class == class)
    }

    /// Violated guarantees: wrong answers, crashes of cold engines, lost or doubled sales, false refusals.
    pub fn violations(&self) -> Vec<String> {
        let wrong: usize = self.classes.iter().map(|row| row.wrong).sum();
        let counts = [
            ("wrong answers", wrong as u64),
            ("crashes of cold engines", self.targets.crashes),
            ("doubled sales", self.sales.doubled as u64),
            ("lost sales", self.sales.lost as u64),
            ("false refusals", self.sales.false_refusals as u64),
        ];
        counts
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{count} {name}"))
            .collect()
    }

    /// Share of the admitted arrivals, those that were not refused, that got a correct answer in time.
    pub fn served_share(&self) -> f64 {
        let sum = |value: fn(&Row) -> usize| self.classes.iter().map(value).sum::<usize>();
        let admitted = sum(|row| row.arrivals) - sum(|row| row.refused);
        sum(|row| row.ok) as f64 / (admitted as f64).max(1.0)
    }
}
