//! Guards against differences between the metrics of an entry instance and the documented list.

use std::collections::BTreeSet;

use jujubehook::entry::Metrics;

const LIST: &str = include_str!("../docs/metrics-entry.md");

#[test]
fn entry_names_are_listed() {
    let metrics = Metrics::new().unwrap();
    metrics
        .first_event
        .with_label_values(&["stream"])
        .observe(0.1);
    metrics
        .admission_refusals
        .with_label_values(&["ahead"])
        .inc();
    metrics.requests.with_label_values(&["stream", "ok"]).inc();
    metrics.panics.with_label_values(&["probe"]).inc();
    metrics.hedges.with_label_values(&["sent"]).inc();
    metrics.permits.with_label_values(&["grant"]).inc();
    metrics.sends.with_label_values(&["opened"]).inc();
    metrics
        .log_calls
        .with_label_values(&["operator", "ok"])
        .inc();
    metrics.held_bytes.with_label_values(&["body"]).set(1);
    metrics.late.with_label_values(&["stream", "place"]).inc();
    metrics.log_restores.with_label_values(&["operator"]).inc();
    let page = String::from_utf8(metrics.text()).unwrap();
    let types = page.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: BTreeSet<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    let listed = LIST.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<&str> = listed.filter_map(|line| line.split('`').next()).collect();
    assert_eq!(names, listed);
}
