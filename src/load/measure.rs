use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::future;
use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Reuse};
use serde_json::json;
use smol::Timer;

use super::arrival::{Arrival, Work};
use super::report::{Control, Report, Targets};
use super::run::Run;
use super::usage::Watch;
use super::{tally, Fleet, Plan, Profile};
use crate::record;

/// Longest time for the metrics of an instance.
const METRICS_LIMIT: Duration = Duration::from_secs(5);

/// Largest accepted metrics in bytes.
const METRICS_SIZE: usize = 4 << 20;

/// Counter of control bytes, one line for each kind of other side.
const CONTROL: &str = "jujubehook_control_sent_bytes_total{";

/// Runs a load and counts what came of it.
///
/// # Errors
/// Fails if the embedded fleet cannot be started or a stand-in does not tell what it did.
pub async fn measure(plan: &Plan) -> io::Result<Report> {
    if !plan.entries.is_empty() {
        return load(plan, plan.entries.clone(), None).await;
    }
    let fleet = Fleet::start(plan.fleet.clone()).await?;
    load(plan, fleet.entries(), Some(&fleet)).await
}

async fn load(plan: &Plan, entries: Vec<SocketAddr>, fleet: Option<&Fleet>) -> io::Result<Report> {
    let profile = &plan.profile;
    let run = Run::new(entries.clone(), &plan.fleet.model, profile.workspaces);
    let warm_up = Profile {
        long: false,
        seconds: plan.warm_up,
        seed: profile.seed.wrapping_add(1),
        ..profile.clone()
    };
    run.play(warm_up.arrivals()).await;
    let arrivals = profile.arrivals();
    let offered_tokens = tokens(&arrivals) / profile.seconds;
    let (watch, start, sent) = (Watch::start(), Instant::now(), control(&entries).await);
    let (changes, turns) = (change_domain(plan, fleet), turn_cold(plan, fleet));
    let played = async { Ok(run.play(arrivals).await) };
    // The changes end with the load; a failed one ends the measurement.
    let outcomes = future::or(played, async {
        let (changed, turned) = future::zip(changes, turns).await;
        changed.and(turned)?;
        future::pending::<io::Result<_>>().await
    })
    .await?;
    let usage = watch.read();
    let control = rates(&sent, &control(&entries).await, start.elapsed());
    let counts = match fleet {
        Some(fleet) => Some(executions(fleet).await?),
        None => None,
    };
    let targets = match fleet {
        Some(fleet) => targets(fleet).await?,
        None => Targets::default(),
    };
    Ok(Report {
        classes: tally::rows(&outcomes),
        control,
        errors: tally::faults(&outcomes),
        offered_tokens,
        points: tally::points(&outcomes),
        sales: tally::sales(&outcomes, counts.as_deref()),
        targets,
        timeline: tally::timeline(&outcomes),
        usage,
    })
}

/// Takes the last domain out of service at a third of the load, and back later.
async fn change_domain(plan: &Plan, fleet: Option<&Fleet>) -> io::Result<()> {
    let (Some(fleet), Some(out)) = (fleet, plan.domain_outage) else {
        return Ok(());
    };
    let engines = fleet.engines();
    let Some((_, domain, _)) = engines.last() else {
        return Ok(());
    };
    let third = Duration::from_secs_f64(plan.profile.seconds / 3.0);
    for (wait, is_in) in [(third, false), (out, true)] {
        Timer::after(wait).await;
        let body = json!({"service": {"in": is_in}});
        fleet.publish(record::Kind::Domain, domain, body).await?;
    }
    Ok(())
}

/// Turns one engine after the other cold.
async fn turn_cold(plan: &Plan, fleet: Option<&Fleet>) -> io::Result<()> {
    let (Some(fleet), Some(interval)) = (fleet, plan.cold_interval) else {
        return Ok(());
    };
    for (_, _, address) in fleet.engines().iter().cycle() {
        Timer::after(interval).await;
        fleet.set_faults(*address, &json!({"cold": true})).await?;
    }
    Ok(())
}

/// Control bytes that each instance has sent; `None` if it does not answer.
async fn control(entries: &[SocketAddr]) -> Vec<Option<f64>> {
    let client = Client::default();
    let mut sent = Vec::with_capacity(entries.len());
    for entry in entries {
        let call = async {
            let request = Client::request(Method::Get, *entry, "/metrics")?;
            client
                .fetch(*entry, request, Reuse::Never, METRICS_SIZE)
                .await
        };
        let answer = with_timeout(METRICS_LIMIT, call).await.ok();
        sent.push(answer.and_then(|(_, bytes)| {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let lines = text.lines().filter(|line| line.starts_with(CONTROL));
            let values: Vec<f64> = lines
                .map(|line| line.rsplit(' ').next()?.parse().ok())
                .collect::<Option<_>>()?;
            (!values.is_empty()).then(|| values.iter().sum())
        }));
    }
    sent
}

fn rates(before: &[Option<f64>], after: &[Option<f64>], time: Duration) -> Control {
    let pairs = before.iter().zip(after);
    let rates: Vec<f64> = pairs
        .filter_map(|(before, after)| Some(((*after)? - (*before)?) / time.as_secs_f64()))
        .collect();
    Control {
        max: rates.iter().copied().fold(0.0, f64::max),
        mean: rates.iter().sum::<f64>() / (rates.len() as f64).max(1.0),
    }
}

/// Executions of each key on all services, sorted by key.
async fn executions(fleet: &Fleet) -> io::Result<Vec<(String, u64)>> {
    let mut counts: Vec<(String, u64)> = Vec::new();
    for (_, _, address) in fleet.services() {
        let stats = fleet.stats(address).await?;
        for call in stats["calls"].as_array().into_iter().flatten() {
            let (Some(key), Some(count)) = (call["key"].as_str(), call["count"].as_u64()) else {
                continue;
            };
            match counts.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
                Ok(at) => counts[at].1 += count,
                Err(at) => counts.insert(at, (key.to_owned(), count)),
            }
        }
    }
    Ok(counts)
}

async fn targets(fleet: &Fleet) -> io::Result<Targets> {
    let mut targets = Targets::default();
    for (_, _, address) in fleet.engines() {
        let stats = fleet.stats(address).await?;
        targets.crashes += stats["crashes"].as_u64().unwrap_or(0);
        targets.peak_cold = targets
            .peak_cold
            .max(stats["peak_cold"].as_u64().unwrap_or(0));
    }
    Ok(targets)
}

fn tokens(arrivals: &[Arrival]) -> f64 {
    let tokens = |arrival: &Arrival| match arrival.work {
        Work::Prompt { tokens, .. } => tokens as f64,
        Work::Question | Work::Sale { .. } => 0.0,
    };
    arrivals.iter().map(tokens).sum()
}
