use prometheus::{
    Encoder, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

use crate::metric::build::{counter, counters, gauge, gauges, histograms};

/// Histogram bounds for first events and whole answers in seconds; the objectives lie in the middle.
const BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 12.0,
];

/// Metrics of an entry instance. `docs/metrics-entry.md` lists them.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Long prompts that were refused because they cannot be in time, by reason.
    pub admission_refusals: IntCounterVec,
    /// Fragments of prompts that are banned.
    pub banned_fragments: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Seconds until the first event or the whole answer, by kind of route.
    pub first_event: HistogramVec,
    /// Heartbeats sent.
    pub heartbeats: IntCounter,
    /// Hedged and withheld second sends by outcome.
    pub hedges: IntCounterVec,
    /// Bytes held by purpose.
    pub held_bytes: IntGaugeVec,
    /// Late responses by kind of route and cause.
    pub late: IntCounterVec,
    /// Calls to the log by topic and outcome.
    pub log_calls: IntCounterVec,
    /// Returns of the log from an older copy, by topic.
    pub log_restores: IntCounterVec,
    /// Tasks that ended by a panic, by what they did.
    pub panics: IntCounterVec,
    /// Replies of this instance as an allocator, by kind.
    pub permits: IntCounterVec,
    registry: Registry,
    /// Requests by kind of route and outcome.
    pub requests: IntCounterVec,
    /// Sends to targets by outcome.
    pub sends: IntCounterVec,
    /// Targets that ended before they wrote an answer, one for each request that waited for one.
    pub target_ends: IntCounter,
    /// Known targets.
    pub targets: IntGauge,
}

impl Metrics {
    /// New metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let r = &registry;
        Ok(Metrics {
            admission_refusals: counters(
                r,
                "entry_admission_refusals_total",
                "Long prompts that were refused because they cannot be in time.",
                &["reason"],
            )?,
            heartbeats: counter(r, "entry_beats_total", "Beats sent to other instances.")?,
            banned_fragments: gauge(
                r,
                "entry_banned_fragments",
                "Fragments of prompts that are banned.",
            )?,
            config_version: gauge(
                r,
                "entry_config_version",
                "Version of the configuration in force.",
            )?,
            first_event: histograms(
                r,
                "entry_first_seconds",
                "Time until the first event or the whole answer.",
                &["kind"],
                &BUCKETS,
            )?,
            hedges: counters(
                r,
                "entry_hedges_total",
                "Second sends of slow requests.",
                &["outcome"],
            )?,
            panics: counters(
                r,
                "entry_panics_total",
                "Tasks that ended by a panic.",
                &["task"],
            )?,
            permits: counters(
                r,
                "entry_permits_total",
                "Replies of this instance as the allocator of its domain.",
                &["reply"],
            )?,
            requests: counters(
                r,
                "entry_requests_total",
                "Requests of callers.",
                &["kind", "outcome"],
            )?,
            sends: counters(r, "entry_sends_total", "Sends to targets.", &["outcome"])?,
            held_bytes: gauges(
                r,
                "entry_held_bytes",
                "Bytes of request bodies, buffered answers and unread events.",
                &["kind"],
            )?,
            late: counters(r, "entry_late_total", "Late responses.", &["kind", "cause"])?,
            log_calls: counters(
                r,
                "entry_log_calls_total",
                "Calls to the log.",
                &["topic", "outcome"],
            )?,
            log_restores: counters(
                r,
                "entry_log_restores_total",
                "Returns of the log from an older copy.",
                &["topic"],
            )?,
            target_ends: counter(
                r,
                "entry_target_ends_total",
                "Requests whose target ended before it wrote an answer.",
            )?,
            targets: gauge(r, "entry_targets", "Targets that are known.")?,
            registry,
        })
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            return format!("# metrics cannot be written: {error}\n").into_bytes();
        }
        text
    }
}
