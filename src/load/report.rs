use serde::Serialize;

use super::usage::Usage;

/// Result of a measurement. Latencies count from the intended arrival.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Per class of prompt and per kind of service call.
    pub classes: Vec<Row>,
    /// Control messages; absent if no instance has metrics.
    pub control: Control,
    /// Refusals and failures by kind.
    pub errors: Vec<Failure>,
    /// Offered prompt tokens per second.
    pub offered_tokens: f64,
    /// Prompts and their time to first token.
    #[serde(skip)]
    pub points: Vec<Point>,
    /// Sales as the callers and the services saw them.
    pub sales: Sales,
    /// What the engines counted; zero without an embedded fleet.
    pub targets: Targets,
    /// Service over time.
    pub timeline: Vec<Second>,
    /// This process: the callers and, if embedded, the fleet.
    pub usage: Usage,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Number of arrivals.
    pub arrivals: usize,
    /// Class of prompt, `question` or `sale`.
    pub class: String,
    /// Errors that do not rule out that something was run.
    pub failed: usize,
    /// Correct answers after the deadline.
    pub late: usize,
    /// Correct answers in time.
    pub ok: usize,
    /// Errors that state that nothing was run.
    pub refused: usize,
    /// Time between tokens, 95th percentile, in ms.
    pub token_gap_p95: f64,
    /// Time to first token, or to the whole answer of a call, in ms: 50th percentile.
    pub wait_p50: f64,
    /// The same, 95th percentile.
    pub wait_p95: f64,
    /// The same, 99th percentile.
    pub wait_p99: f64,
    /// Answers that were not those of the request.
    pub wrong: usize,
}

/// Control messages of the instances during the measured load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Control {
    /// Bytes/s of the instance that sent most.
    pub max: f64,
    /// Bytes/s of an instance in the mean.
    pub mean: f64,
}

/// Requests that ended with an error.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// Class of prompt, `question` or `sale`.
    pub class: String,
    /// How many there were.
    pub count: usize,
    /// Kind of error.
    pub kind: String,
    /// Whether nothing was run.
    pub not_run: bool,
}

/// Time to first token of one prompt.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Time to first token in ms.
    pub first_token: f64,
    /// Tokens of the prompt.
    pub tokens: u64,
}

/// Sales by key.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sales {
    /// Callers that got the confirmation of their sale.
    pub committed: usize,
    /// Keys that were run more than once.
    pub doubled: usize,
    /// Refusals that said that nothing was run although it was.
    pub false_refusals: usize,
    /// Confirmed sales that no service has run.
    pub lost: usize,
    /// Sales whose callers do not know the outcome.
    pub unknown: usize,
}

/// Service in one second of the load, by time of arrival.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Number of arrivals.
    pub arrivals: usize,
    /// Confirmed sales.
    pub committed: usize,
    /// Arrivals that were answered correctly and in time.
    pub ok: usize,
    /// Arrivals that were refused truthfully.
    pub refused: usize,
}

/// What the engines counted.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Targets {
    /// Crashes under load while cold.
    pub crashes: u64,
    /// Most streams open at once on a cold engine.
    pub peak_cold: u64,
}

impl Report {
    /// The row of a class.
    pub fn row(&self, class: &str) -> Option<&Row> {
        self.classes.iter().find(|row| row.class == class)
    }

    /// Broken promises: wrong answers, crashes of cold engines, lost or doubled sales, false refusals.
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
            .map(|(what, count)| format!("{count} {what}"))
            .collect()
    }

    /// Share of the arrivals that were not refused and that were answered correctly and in time.
    pub fn served_share(&self) -> f64 {
        let sum = |value: fn(&Row) -> usize| self.classes.iter().map(value).sum::<usize>();
        let admitted = sum(|row| row.arrivals) - sum(|row| row.refused);
        sum(|row| row.ok) as f64 / (admitted as f64).max(1.0)
    }
}
