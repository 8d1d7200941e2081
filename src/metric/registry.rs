use std::sync::Arc;
use std::time::Duration;

use jujubehook_http::Traffic;
use prometheus::{
    Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, Result, TextEncoder,
};

use super::build::{counter, counters, gauge, histogram, histograms, seconds};
use super::channel::Channel;
use super::label::{bounded, outcomes, CHANNELS, CLAIMS, CLASSES, GANGS, OK, STATES};
use crate::error::Kind;
use crate::id::{Offset, Tokens};

/// Bucket bounds in seconds for times up to the first token, from short prompts to prompts of a million tokens.
const FIRST_TOKEN_BOUNDS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.6, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0,
];

/// Bucket bounds in seconds for gaps between tokens, whose goal is 32 ms, up to the stall timeout. Heartbeat ages use
/// the same bounds.
const GAP_BOUNDS: &[f64] = &[
    0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The metrics of one instance.
#[derive(Debug)]
pub struct Registry {
    claims: IntCounterVec,
    control_received_bytes: IntCounterVec,
    control_sent_bytes: IntCounterVec,
    dispatches: IntCounterVec,
    forwarded: IntCounter,
    gangs: IntCounterVec,
    generated_tokens: IntCounter,
    heartbeat_age: Histogram,
    heartbeat_oldest: Gauge,
    owned_targets: IntGauge,
    prompt_tokens: IntCounterVec,
    queue_wait: HistogramVec,
    record_offset: IntGauge,
    registry: prometheus::Registry,
    requests: IntCounterVec,
    retries: IntCounter,
    time_between_tokens: Histogram,
    time_to_first_token: HistogramVec,
    traffic: [Arc<Traffic>; CHANNELS.len()],
}

impl Registry {
    /// Registers all metrics. Series with known label values start at zero.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = prometheus::Registry::new();
        let metrics = Self {
            claims: counters(
                &registry,
                "claims_total",
                "Claims of idempotency keys.",
                &["outcome"],
            )?,
            control_received_bytes: counters(
                &registry,
                "control_received_bytes_total",
                "Bytes of control messages received, by the other side.",
                &["channel"],
            )?,
            control_sent_bytes: counters(
                &registry,
                "control_sent_bytes_total",
                "Bytes of control messages sent, by the other side.",
                &["channel"],
            )?,
            dispatches: counters(
                &registry,
                "dispatches_total",
                "Requests sent to a target, by the target's state.",
                &["state"],
            )?,
            forwarded: counter(
                &registry,
                "forwarded_total",
                "Requests sent to another instance.",
            )?,
            gangs: counters(
                &registry,
                "gangs_total",
                "Gangs by their result.",
                &["outcome"],
            )?,
            generated_tokens: counter(
                &registry,
                "generated_tokens_total",
                "Tokens sent to callers.",
            )?,
            heartbeat_age: histogram(
                &registry,
                "heartbeat_age_seconds",
                "Age of each live peer's last heartbeat when it was examined.",
                GAP_BOUNDS,
            )?,
            heartbeat_oldest: seconds(
                &registry,
                "heartbeat_age_oldest_seconds",
                "Age of the oldest last heartbeat of the live peers.",
            )?,
            owned_targets: gauge(
                &registry,
                "owned_targets",
                "Targets that this instance owns.",
            )?,
            prompt_tokens: counters(
                &registry,
                "prompt_tokens_total",
                "Prompt tokens of the ended requests.",
                &["class"],
            )?,
            queue_wait: histograms(
                &registry,
                "queue_wait_seconds",
                "Time from the offer to a target's queue to the dispatch.",
                &["class"],
                FIRST_TOKEN_BOUNDS,
            )?,
            record_offset: gauge(
                &registry,
                "record_offset",
                "Offset of the records in force.",
            )?,
            requests: counters(
                &registry,
                "requests_total",
                "Ended requests of callers.",
                &["class", "outcome"],
            )?,
            retries: counter(
                &registry,
                "retries_total",
                "Attempts after the first of a request.",
            )?,
            time_between_tokens: histogram(
                &registry,
                "time_between_tokens_seconds",
                "Time between two tokens of one response.",
                GAP_BOUNDS,
            )?,
            time_to_first_token: histograms(
                &registry,
                "time_to_first_token_seconds",
                "Time from the request to its first token.",
                &["class"],
                FIRST_TOKEN_BOUNDS,
            )?,
            registry,
            traffic: Default::default(),
        };
        metrics.create_series();
        Ok(metrics)
    }

    /// Counts a claim; `outcome` is `expired`, `lost`, `refused`, `replayed`, `unknown` or `won`.
    pub fn count_claim(&self, outcome: &str) {
        let outcome = bounded(outcome, CLAIMS);
        self.claims.with_label_values(&[outcome]).inc();
    }

    /// Counts a dispatch to a target in `state`: `cold`, `gone`, `leaving`, `warm` or `warming`.
    pub fn count_dispatch(&self, state: &str) {
        let state = bounded(state, STATES);
        self.dispatches.with_label_values(&[state]).inc();
    }

    /// Observes the time to the first token of a request of `class`: `long`, `medium` or `short`.
    pub fn observe_first_token(&self, class: &str, after: Duration) {
        let class = bounded(class, CLASSES);
        self.time_to_first_token
            .with_label_values(&[class])
            .observe(after.as_secs_f64());
    }

    /// Counts a request sent to another instance.
    pub fn count_forward(&self) {
        self.forwarded.inc();
    }

    /// Counts a gang; `outcome` is `cancelled`, `failed`, `finished` or `refused`.
    pub fn count_gang(&self, outcome: &str) {
        let outcome = bounded(outcome, GANGS);
        self.gangs.with_label_values(&[outcome]).inc();
    }

    /// Observes the ages of the last heartbeats of the live peers.
    pub fn observe_heartbeat_ages(&self, ages: impl IntoIterator<Item = Duration>) {
        let mut oldest = Duration::ZERO;
        for age in ages {
            self.heartbeat_age.observe(age.as_secs_f64());
            oldest = oldest.max(age);
        }
        self.heartbeat_oldest.set(oldest.as_secs_f64());
    }

    /// Sets the number of owned targets.
    pub fn set_owned_targets(&self, count: usize) {
        self.owned_targets.set(count as i64);
    }

    /// Observes the time that a request of `class` waited in the queue of a target.
    pub fn observe_queue_wait(&self, class: &str, wait: Duration) {
        let class = bounded(class, CLASSES);
        self.queue_wait
            .with_label_values(&[class])
            .observe(wait.as_secs_f64());
    }

    /// Sets the offset of the records in force.
    pub fn set_record_offset(&self, offset: Offset) {
        self.record_offset.set(offset as i64);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        for (channel, traffic) in CHANNELS.iter().zip(&self.traffic) {
            let labels = [*channel];
            let received = self.control_received_bytes.with_label_values(&labels);
            received.inc_by(traffic.take_received());
            let sent = self.control_sent_bytes.with_label_values(&labels);
            sent.inc_by(traffic.take_sent());
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Counts an ended request of `class`; `failure` is the kind of its error response, if any.
    pub fn count_request(&self, class: &str, prompt: Tokens, failure: Option<Kind>) {
        let class = bounded(class, CLASSES);
        let outcome = failure.map_or(OK, Kind::name);
        self.requests.with_label_values(&[class, outcome]).inc();
        self.prompt_tokens
            .with_label_values(&[class])
            .inc_by(prompt);
    }

    /// Counts a retry, that is, an attempt of a request after the first.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a token sent to a caller; `gap` is the time since the previous token.
    pub fn count_token(&self, gap: Option<Duration>) {
        self.generated_tokens.inc();
        if let Some(gap) = gap {
            self.time_between_tokens.observe(gap.as_secs_f64());
        }
    }

    /// The byte counters of the control messages of a channel.
    pub fn traffic(&self, channel: Channel) -> &Arc<Traffic> {
        &self.traffic[channel as usize]
    }

    /// Creates all series with known label values at zero, so that a rate includes the first event.
    fn create_series(&self) {
        for class in CLASSES {
            self.prompt_tokens.with_label_values(&[class]);
            self.queue_wait.with_label_values(&[class]);
            self.time_to_first_token.with_label_values(&[class]);
            for outcome in outcomes() {
                self.requests.with_label_values(&[*class, outcome]);
            }
        }
        for (metric, labels) in [
            (&self.claims, CLAIMS),
            (&self.dispatches, STATES),
            (&self.gangs, GANGS),
        ] {
            for label in labels {
                metric.with_label_values(&[label]);
            }
        }
    }
}
