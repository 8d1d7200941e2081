use serde_json::Value;

use super::Answer;
use crate::command::output::columns;
use crate::command::probe::{Status, Target};

/// Cell of an unknown value.
const ABSENT: &str = "-";

/// The tables of instances, targets and alarms.
pub(super) fn text(answers: &[Answer]) -> String {
    let mut text = columns(&instances(answers));
    let targets = targets(answers);
    if targets.len() > 1 {
        text.push('\n');
        text.push_str(&columns(&targets));
    }
    let alarms: String = answers.iter().filter_map(status).flat_map(alarms).collect();
    if !alarms.is_empty() {
        text.push('\n');
        text.push_str(&alarms);
    }
    text
}

fn alarms(status: &Status) -> impl Iterator<Item = String> + '_ {
    let line = |alarm: &Value| match alarm {
        Value::String(alarm) => alarm.clone(),
        other => other.to_string(),
    };
    let alarms = status.alarms.iter().map(line);
    alarms.map(|alarm| format!("alarm {}: {alarm}\n", status.instance))
}

fn cell(value: Option<impl ToString>) -> String {
    value.map_or_else(|| ABSENT.into(), |value| value.to_string())
}

fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn instances(answers: &[Answer]) -> Vec<Vec<String>> {
    let names = [
        "instance",
        "domain",
        "address",
        "ready",
        "leaving",
        "in_service",
    ];
    let mut rows = vec![heading(&names)];
    rows[0].extend(heading(&[
        "offset",
        "peers",
        "oldest_ms",
        "alarms",
        "error",
    ]));
    for (member, answer) in answers {
        let mut row = vec![
            member.id.clone(),
            member.domain.clone(),
            member.address.to_string(),
        ];
        match answer {
            Ok(status) => row.extend(cells(status)),
            Err(error) => {
                row.extend(vec![ABSENT.to_owned(); 7]);
                row.push(format!("no answer: {error}"));
            }
        }
        rows.push(row);
    }
    rows
}

/// The cells of an instance that answered.
fn cells(status: &Status) -> Vec<String> {
    let oldest = status.peers.iter().filter_map(|peer| peer.age_ms).max();
    vec![
        status.ready.to_string(),
        status.leaving.to_string(),
        cell(status.in_service),
        status.offset.to_string(),
        status.peers.len().to_string(),
        cell(oldest),
        status.alarms.len().to_string(),
    ]
}

fn status(answer: &Answer) -> Option<&Status> {
    answer.1.as_ref().ok()
}

/// One row per target, taken from the first report of an instance that owns it, or else from the first report.
fn targets(answers: &[Answer]) -> Vec<Vec<String>> {
    let mut reports: Vec<(&str, bool, &Target)> = Vec::new();
    for status in answers.iter().filter_map(status) {
        for target in &status.targets {
            let not_owner = target.owner.as_ref() != Some(&status.instance);
            reports.push((
                target.target.as_deref().unwrap_or(ABSENT),
                not_owner,
                target,
            ));
        }
    }
    reports.sort_by_key(|(name, not_owner, _)| (*name, *not_owner));
    let mut rows = vec![heading(&[
        "target", "domain", "owner", "state", "queued", "running",
    ])];
    rows[0].extend(heading(&["limit", "free_tokens"]));
    for group in reports.chunk_by(|a, b| a.0 == b.0) {
        rows.push(target(group));
    }
    rows
}

/// The row of one target, from all reports about it.
fn target(reports: &[(&str, bool, &Target)]) -> Vec<String> {
    let (name, _, target) = reports[0];
    let mut owners: Vec<_> = reports
        .iter()
        .filter(|(_, not_owner, _)| !not_owner)
        .filter_map(|(_, _, target)| target.owner.as_deref())
        .collect();
    owners.dedup();
    // If several instances claim to own the target, all are named.
    let owner = match owners.len() {
        0 | 1 => cell(target.owner.as_deref()),
        _ => owners.join("+"),
    };
    vec![
        name.to_owned(),
        cell(target.domain.as_deref()),
        owner,
        cell(target.state.as_deref()),
        cell(target.queued),
        cell(target.running),
        cell(target.limit),
        cell(target.free_tokens),
    ]
}
