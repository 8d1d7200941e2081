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
use super::usage::Meter;
use super::{tally, Fleet, Plan, Profile};
use crate::record;

/// Timeout for reading the metrics of an instance.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest accepted metrics page in bytes.
const METRICS_LIMIT: usize = 4 << 20;

/// Start of the metric lines that count control bytes, one for each channel.
const CONTROL_METRIC: &str = "jujubehook_control_sent_bytes_total{";

/// Runs a load and reports its outcomes.
///
/// # Errors
/// Fails if the embedded fleet cannot be started, a domain cannot be changed or a stand-in cannot be reached.
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
    run.send_all(warm_up.arrivals()).await;
    let arrivals = profile.arrivals();
    let offered_tokens = prompt_tokens(&arrivals) / profile.seconds;
    let (meter, start) = (Meter::start(), Instant::now());
    let sent = control_bytes(&entries).await;
    let (outage, cooling) = (change_domain(plan, fleet), turn_cold(plan, fleet));
    let sending = async { Ok(run.send_all(arrivals).await) };
    // The measurement ends when the load has ended, or when a change to the fleet fails.
    let outcomes = future::or(sending, async {
        let (outage, cooling) = future::zip(outage, cooling).await;
        outage.and(cooling)?;
        future::pending::<io::Result<_>>().await
    })
    .await?;
    let usage = meter.usage();
    let control = control_rates(&sent, &control_bytes(&entries).await, start.elapsed());
    let counts = match fleet {
        Some(fleet) => Some(executions(fleet).await?),
        None => None,
    };
    let targets = match fleet {
        Some(fleet) => target_counts(fleet).await?,
        None => Targets::default(),
    };
    Ok(Report {
        classes: tally::rows(&outcomes),
        control,
        errors: tally::failures(&outcomes),
        offered_tokens,
        points: tally::points(&outcomes),
        sales: tally::sales(&outcomes, counts.as_deref()),
        targets,
        timeline: tally::timeline(&outcomes),
        usage,
    })
}

/// Takes the domain of the last engine out of service at a third of the load, and returns it after the planned time.
async fn change_domain(plan: &Plan, fleet: Option<&Fleet>) -> io::Result<()> {
    let (Some(fleet), Some(outage)) = (fleet, plan.domain_outage) else {
        return Ok(());
    };
    let engines = fleet.engines();
    let Some((_, domain, _)) = engines.last() else {
        return Ok(());
    };
    let third = Duration::from_secs_f64(plan.profile.seconds / 3.0);
    for (wait, is_in) in [(third, false), (outage, true)] {
        Timer::after(wait).await;
        let body = json!({"service": {"in": is_in}});
        fleet.publish(record::Kind::Domain, domain, body).await?;
    }
    Ok(())
}

/// Turns one engine after the other cold, endlessly.
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

/// Control bytes that each instance has sent; `None` if it has no metrics.
async fn control_bytes(entries: &[SocketAddr]) -> Vec<Option<f64>> {
    let client = Client::default();
    let mut sent = Vec::with_capacity(entries.len());
    for entry in entries {
        let call = async {
            let request = Client::request(Method::Get, *entry, "/metrics")?;
            client
                .fetch(*entry, request, Reuse::Never, METRICS_LIMIT)
                .await
        };
        let page = with_timeout(METRICS_TIMEOUT, call).await.ok();
        sent.push(page.and_then(|(_, bytes)| {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let lines = text.lines().filter(|line| line.starts_with(CONTROL_METRIC));
            let values: Vec<f64> = lines
                .map(|line| line.rsplit(' ').next()?.parse().ok())
                .collect::<Option<_>>()?;
            (!values.is_empty()).then(|| values.iter().sum())
        }));
    }
    sent
}

/// Rates of control bytes over `time`, from the counters before and after it.
fn control_rates(before: &[Option<f64>], after: &[Option<f64>], time: Duration) -> Control {
    let pairs = before.iter().zip(after);
    let rates: Vec<f64> = pairs
        .filter_map(|(before, after)| Some(((*after)? - (*before)?) / time.as_secs_f64()))
        .collect();
    Control {
        max: rates.iter().copied().fold(0.0, f64::max),
        mean: rates.iter().sum::<f64>() / (rates.len() as f64).max(1.0),
    }
}

/// Number of executions of each key over all services, sorted by key.
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

/// Sums over the engines of the fleet.
async fn target_counts(fleet: &Fleet) -> io::Result<Targets> {
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

fn prompt_tokens(arrivals: &[Arrival]) -> f64 {
    let tokens = |arrival: &Arrival| match arrival.work {
        Work::Prompt { tokens, .. } => tokens as f64,
        Work::Question | Work::Sale { .. } => 0.0,
    };
    arrivals.iter().map(tokens).sum()
}
