//! The load generator: arrivals depend only on the profile, and the report of a healthy fleet has no violations.

use std::time::Duration;

use jujubehook::load::{measure, Caller, Fleet, Plan, Profile, Settings, Work};
use jujubehook::settings::Queue;
use jujubehook::target::Class;
use jujubehook_http::http_types::Method;
use jujubehook_http::{Client, Reuse};
use jujubehook_standin::engine;

/// Guards against two runs with the same seed whose arrivals differ, so that they cannot be compared.
#[test]
fn same_seed() {
    let profile = Profile::default();
    assert_eq!(profile.arrivals(), profile.arrivals());
    let other = Profile {
        seed: 2,
        ..profile.clone()
    };
    assert_ne!(profile.arrivals(), other.arrivals());
}

/// Guards against arrivals that change when long prompts are left out.
#[test]
fn without_long() {
    let profile = Profile::default();
    let mut kept = profile.arrivals();
    kept.retain(|arrival| arrival.class() != Some(Class::Long));
    let short = Profile {
        long: false,
        ..profile.clone()
    };
    assert_eq!(short.arrivals(), kept);
}

/// Guards against a mix other than the documented one: 1 prompt in 50 has more than 100,000 tokens, and two workspaces
/// send half of the arrivals.
#[test]
fn stated_mix() {
    let profile = Profile {
        seconds: 2_000.0,
        ..Profile::default()
    };
    let arrivals = profile.arrivals();
    let lengths: Vec<u64> = arrivals
        .iter()
        .filter_map(|arrival| match arrival.work {
            Work::Prompt { tokens, .. } => Some(tokens),
            Work::Question | Work::Sale { .. } => None,
        })
        .collect();
    let share = |count: usize, total: usize| count as f64 / total as f64;
    let above_100k = lengths.iter().filter(|tokens| **tokens > 100_000).count();
    assert!((share(above_100k, lengths.len()) - 0.02).abs() < 0.002);
    assert!(lengths
        .iter()
        .all(|tokens| (1_000..=1_000_000).contains(tokens)));
    let large = arrivals
        .iter()
        .filter(|arrival| arrival.workspace < 2)
        .count();
    assert!((share(large, arrivals.len()) - 0.5).abs() < 0.01);
    assert!((arrivals.len() as f64 / 2_000.0 - profile.rate).abs() < 1.0);
}

/// Guards against violations (wrong answers, crashes of cold engines, doubled or lost sales) under a moderate load, and
/// against arrivals that the report does not count.
#[test]
fn small_fleet() {
    let plan = Plan {
        fleet: Settings {
            domains: 2,
            engines: 2,
            instances: 2,
            ..Settings::default()
        },
        profile: Profile {
            long: false,
            rate: 10.0,
            seconds: 5.0,
            ..Profile::default()
        },
        warm_up: 0.0,
        ..Plan::default()
    };
    let report = smol::block_on(measure(&plan)).expect("the fleet starts");
    assert_eq!(report.violations(), Vec::<String>::new());
    let counted: usize = report.classes.iter().map(|row| row.arrivals).sum();
    assert_eq!(counted, plan.profile.arrivals().len());
    let ended: usize = report
        .classes
        .iter()
        .map(|row| row.ok + row.late + row.refused + row.failed + row.wrong)
        .sum();
    assert_eq!(counted, ended);
    assert!(report.row("short").is_some_and(|row| row.ok > 0));
    assert!(report.sales.committed > 0);
}

/// Guards against prompt text that is counted as control bytes: the chunks of prompts that a gang processes were
/// counted.
#[test]
fn control_bytes() {
    let (memory, prompt) = (8_000, "lot ".repeat(12_000));
    let settings = Settings {
        domains: 1,
        engine: engine::Settings {
            cold: false,
            memory,
            ..engine::Settings::default()
        },
        engines: 4,
        instances: 3,
        queue: Queue {
            memory_tokens: memory,
            ..Queue::default()
        },
        ..Settings::default()
    };
    let sent = smol::block_on(async {
        let fleet = Fleet::start(settings).await.unwrap();
        let before = sent_control_bytes(&fleet).await;
        let caller = Caller::new("key-0");
        for entry in fleet.entries() {
            let deadline = Duration::from_secs(30);
            let answer = caller.complete(entry, "resin", &prompt, 4, deadline).await;
            assert_eq!(answer.error, None);
        }
        sent_control_bytes(&fleet).await - before
    });
    // Three prompts of 48 kB ran on gangs: one prompt for each of three instances, which own different engines.
    assert!(sent < 24_000.0, "{sent} control bytes");
}

/// Control bytes that all instances of a fleet have sent.
async fn sent_control_bytes(fleet: &Fleet) -> f64 {
    let client = Client::default();
    let mut sent = 0.0;
    for entry in fleet.entries() {
        let request = Client::request(Method::Get, entry, "/metrics").unwrap();
        let response = client.fetch(entry, request, Reuse::Never, 1 << 20).await;
        let text = String::from_utf8(response.unwrap().1).unwrap();
        let name = "jujubehook_control_sent_bytes_total{";
        let lines: Vec<&str> = text.lines().filter(|line| line.starts_with(name)).collect();
        assert!(!lines.is_empty(), "{text}");
        for line in lines {
            sent += line.rsplit(' ').next().unwrap().parse::<f64>().unwrap();
        }
    }
    sent
}
