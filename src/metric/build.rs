use prometheus::{core::Collector, Gauge};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result,
};

/// Prefix of all metric names.
const NAMESPACE: &str = "jujubehook";

fn register<T: Clone + Collector + 'static>(registry: &Registry, metric: T) -> Result<T> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}

fn buckets(name: &str, help: &str, bounds: &[f64]) -> HistogramOpts {
    HistogramOpts::new(name, help)
        .namespace(NAMESPACE)
        .buckets(bounds.to_vec())
}

/// Registers a counter.
pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    register(registry, IntCounter::with_opts(options(name, help))?)
}

/// Registers a counter with labels.
pub(crate) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    register(registry, IntCounterVec::new(options(name, help), labels)?)
}

/// Registers an integer gauge.
pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    register(registry, IntGauge::with_opts(options(name, help))?)
}

/// Registers an integer gauge with labels.
pub(crate) fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec> {
    register(registry, IntGaugeVec::new(options(name, help), labels)?)
}

/// Registers a histogram with these bucket bounds.
pub(crate) fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    bounds: &[f64],
) -> Result<Histogram> {
    register(registry, Histogram::with_opts(buckets(name, help, bounds))?)
}

/// Registers a histogram with labels.
pub(crate) fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
    bounds: &[f64],
) -> Result<HistogramVec> {
    register(
        registry,
        HistogramVec::new(buckets(name, help, bounds), labels)?,
    )
}

/// Registers a gauge in seconds.
pub(crate) fn seconds(registry: &Registry, name: &str, help: &str) -> Result<Gauge> {
    register(registry, Gauge::with_opts(options(name, help))?)
}
