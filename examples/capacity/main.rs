//! Measures processor time, memory and control bytes of `jujubehookd` processes in one domain.
//!
//! The stand-ins run in this process; `docs/CAPACITY.md` lists the runs. Prints the results as key=value pairs.

mod drive;
mod node;
mod options;
mod platform;

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubehook::record::{self, Fold, Kind, Verdict};
use jujubehook::remote::{Log, Settings as LogSettings};
use jujubehook_http::{Client, Server};
use serde_json::json;
use smol::Timer;

use drive::Tally;
use node::{Node, Usage};
use options::Options;
use platform::Platform;

/// Longest time until the instances are ready and every target has an owner.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest duration of a run in addition to the measured window; daemons are killed after it.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// Time between readiness and the measured window.
const SETTLE: Duration = Duration::from_secs(4);

/// Number of configuration changes for which the time until they are in force is measured.
const TIMED_CHANGES: u64 = 8;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Usage of all instances.
#[derive(Debug, Default)]
struct Totals {
    /// Largest resident anonymous memory of an instance in KiB.
    anonymous_max: u64,
    /// Control bytes by direction and channel.
    control: Vec<(String, f64)>,
    /// Bytes of log lines.
    logged: f64,
    /// Largest resident memory of an instance in KiB.
    resident_max: u64,
}

/// Daemons and stand-ins of one run.
struct Run {
    client: Client,
    log: Log,
    nodes: Vec<Node>,
    options: Options,
    platform: Platform,
    /// Instance that is killed at the start of the measured window.
    victim: Option<Node>,
    _list: Server,
}

fn main() -> Outcome<()> {
    let options = Options::parse()?;
    if options.fold {
        return fold(&options);
    }
    std::env::set_var("SMOL_THREADS", "4");
    let folder = PathBuf::from(format!("target/tmp/capacity-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let limit = options.window + RUN_TIMEOUT;
    let work = futures_lite::future::or(measure(options, &folder), async {
        Timer::after(limit).await;
        Err("the run took too long".into())
    });
    let outcome = smol::block_on(work);
    fs::remove_dir_all(&folder)?;
    outcome
}

async fn measure(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::start(options, folder).await?;
    run.wait_ready().await?;
    Timer::after(SETTLE).await;
    let first = run.totals().await?;
    let tapped = run.tapped();
    let (start, cpu_start) = (Instant::now(), run.cpu_time()?);
    let end = start + run.options.window;
    // Dropping the node kills its process, which cannot hand over its targets.
    run.victim = None;
    let (tally, base, changes) = run.drive(end).await;
    Timer::at(end).await;
    let (seconds, cpu_end) = (start.elapsed().as_secs_f64(), run.cpu_time()?);
    let tapped: Vec<u64> = run
        .tapped()
        .iter()
        .zip(&tapped)
        .map(|(after, before)| after - before)
        .collect();
    let last = run.totals().await?;
    let force = run.time_to_force(base).await?;
    run.report(&first, &last, seconds, cpu_end - cpu_start);
    println!(
        "changes={changes} force_ms={force:.1} ok={} failed={} tokens={} tap_sent={} tap_received={} tap_datagrams={}",
        tally.ok.load(Ordering::Relaxed),
        tally.failed.load(Ordering::Relaxed),
        tally.tokens.load(Ordering::Relaxed),
        tapped[0],
        tapped[1],
        tapped[2],
    );
    Ok(())
}

impl Run {
    async fn start(options: Options, folder: &Path) -> Outcome<Self> {
        let mut platform = Platform::start(&options).await?;
        let log = Log::new(platform.log, LogSettings::default());
        for index in 0..options.workspaces {
            log.append("config", &drive::entry(index, 1, 0)).await?;
        }
        let body = json!({"calls": [{"name": "sell", "once": true}]});
        let entry = record::entry(Kind::Service, "seats", record::NEWEST_SCHEMA, 0, &body);
        log.append("config", &entry).await?;
        if options.orders {
            append_orders(&options, &log).await?;
        }
        let mut addresses = Vec::new();
        for index in 0..options.nodes + usize::from(options.victim) {
            let address = node::free_port()?;
            addresses.push(address);
            platform.rows.push(json!({
                "id": format!("node-{index:03}"), "role": "entry", "address": address,
                "domain": platform::DOMAIN, "state": "live",
            }));
        }
        let list = platform.serve_list(&options).await?;
        let mut nodes = Vec::new();
        for (index, address) in addresses.into_iter().enumerate() {
            nodes.push(Node::start(&options, &platform, folder, index, address)?);
        }
        let victim = options.victim.then(|| nodes.pop()).flatten();
        Ok(Self {
            client: Client::default(),
            log,
            nodes,
            options,
            platform,
            victim,
            _list: list,
        })
    }

    /// Sends the load until shortly before `end`. Returns its outcomes, the last revision of the configuration, and the
    /// number of configuration changes.
    async fn drive(&self, end: Instant) -> (Arc<Tally>, u64, u64) {
        let tally = Arc::new(Tally::default());
        let entries: Vec<_> = self.nodes.iter().map(|node| node.address).collect();
        // The load stops a second before the end, so that its last answers fall into the measured window.
        let stop = end - Duration::from_secs(1);
        let mut tasks: Vec<_> = entries
            .iter()
            .map(|entry| {
                let options = self.options.clone();
                smol::spawn(drive::requests(options, *entry, stop, tally.clone()))
            })
            .collect();
        let claims = drive::claims(self.options.clone(), entries, stop, tally.clone());
        tasks.push(smol::spawn(claims));
        tasks.push(smol::spawn(versions(
            self.options.versions,
            self.platform.version.clone(),
            stop,
        )));
        let base = self.options.workspaces as u64;
        let (base, changes) = drive::changes(&self.options, &self.log, base, stop).await;
        for task in tasks {
            task.await;
        }
        (tally, base, changes)
    }

    /// Longest time in milliseconds from appending a configuration change until it is in force at all instances.
    async fn time_to_force(&self, mut base: u64) -> Outcome<f64> {
        let mut longest = 0.0;
        if self.options.changes <= 0.0 {
            return Ok(longest);
        }
        for count in 0..TIMED_CHANGES {
            let entry = drive::entry(self.options.workspaces - 1, 20 + count, base);
            let start = Instant::now();
            base = self.log.append("config", &entry).await?;
            for node in &self.nodes {
                while node.offset(&self.client).await? < base {
                    Timer::after(Duration::from_millis(2)).await;
                }
            }
            longest = f64::max(longest, start.elapsed().as_secs_f64() * 1e3);
        }
        Ok(longest)
    }

    fn report(&self, first: &Totals, last: &Totals, seconds: f64, cpu: f64) {
        let nodes = self.nodes.len() as f64;
        let rate = nodes * seconds;
        println!(
            "nodes={} engines={} rows={} workspaces={} heartbeat_ms={} reap_ms={} requests={} versions={} claims={} \
             seconds={seconds:.1} machine_load={} cpu_percent={:.3} rss_max_mib={:.1} anon_max_mib={:.1} log_bytes_s={:.0}",
            self.nodes.len(),
            self.options.engines,
            self.options.rows,
            self.options.workspaces,
            self.options.heartbeat_ms,
            self.options.reap_ms,
            self.options.requests,
            self.options.versions,
            self.options.claims,
            machine_load(),
            cpu / rate * 100.0,
            last.resident_max as f64 / 1024.0,
            last.anonymous_max as f64 / 1024.0,
            (last.logged - first.logged) / rate,
        );
        for ((name, before), (_, after)) in first.control.iter().zip(&last.control) {
            print!("{name}={:.0} ", (after - before) / rate);
        }
        println!();
    }

    /// Bytes that passed the taps: sent, received, and in datagrams.
    fn tapped(&self) -> [u64; 3] {
        let tapped = &self.platform.tapped;
        [&tapped.sent, &tapped.received, &tapped.datagrams]
            .map(|count| count.load(Ordering::Relaxed))
    }

    async fn totals(&self) -> Outcome<Totals> {
        let mut totals = Totals::default();
        for node in &self.nodes {
            let Usage {
                anonymous,
                logged,
                resident,
                ..
            } = node.usage()?;
            totals.anonymous_max = totals.anonymous_max.max(anonymous);
            totals.resident_max = totals.resident_max.max(resident);
            totals.logged += logged as f64;
            let page = node.get(&self.client, "/metrics").await?;
            for (index, (name, value)) in control(&page).into_iter().enumerate() {
                match totals.control.get_mut(index) {
                    Some(total) => total.1 += value,
                    None => totals.control.push((name, value)),
                }
            }
        }
        Ok(totals)
    }

    /// Processor time of all instances in seconds.
    fn cpu_time(&self) -> Outcome<f64> {
        let mut cpu = 0.0;
        for node in &self.nodes {
            cpu += node.usage()?.cpu;
        }
        Ok(cpu)
    }

    async fn wait_ready(&self) -> Outcome<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            Timer::after(Duration::from_millis(500)).await;
            let mut owned = 0.0;
            let mut ready = true;
            for node in self.nodes.iter().chain(&self.victim) {
                ready &= node.get(&self.client, "/readyz").await.is_ok();
                let page = node.get(&self.client, "/metrics").await?;
                owned += metric_value(&page, "jujubehook_owned_targets ");
            }
            // The plain service is a target too.
            if ready && owned >= (self.options.engines + 1) as f64 {
                return Ok(());
            }
        }
        Err("the instances are not ready in time".into())
    }
}

impl Node {
    /// Offset of the last configuration record that is in force.
    async fn offset(&self, client: &Client) -> Outcome<u64> {
        let page = self.get(client, "/metrics").await?;
        Ok(metric_value(&page, "jujubehook_record_offset ") as u64)
    }
}

/// Control bytes by direction and channel, from a metrics page.
fn control(page: &str) -> Vec<(String, f64)> {
    let lines = page
        .lines()
        .filter_map(|line| line.strip_prefix("jujubehook_control_"));
    lines
        .filter_map(|line| {
            let (name, value) = line.split_once(' ')?;
            let name = name
                .replace("_bytes_total{channel=\"", "_")
                .replace("\"}", "");
            Some((name, value.parse().ok()?))
        })
        .collect()
}

/// Folds the records of the workspaces in this process, and prints sizes and times.
fn fold(options: &Options) -> Outcome<()> {
    let entries: Vec<String> = (0..options.workspaces)
        .map(|index| drive::entry(index, 1, 0))
        .collect();
    let bytes: usize = entries.iter().map(String::len).sum();
    let start = Instant::now();
    let mut fold = Fold::default();
    for (index, entry) in entries.iter().enumerate() {
        let verdict = fold.apply(index as u64 + 1, entry)?;
        if let Verdict::Rejected { reason } = verdict {
            return Err(reason.into());
        }
    }
    let folded = start.elapsed();
    let last = options.workspaces as u64;
    let entry = drive::entry(options.workspaces - 1, 2, last);
    let (one, apply) = time(|| {
        let mut copy = fold.clone();
        copy.apply(last + 1, &entry).map(|_| copy.offset())
    });
    one?;
    let (_, clone) = time(|| fold.clone());
    let (snapshot, encode) = time(|| fold.snapshot());
    let (restored, decode) = time(|| Fold::from_snapshot(&snapshot));
    restored?;
    let digest = [7; 32];
    let (_, find) = time(|| fold.workspace_by_key(&digest).is_some());
    println!(
        "workspaces={} entry_bytes={} fold_us={} clone_apply_us={apply} clone_us={clone} snapshot_bytes={} \
         encode_us={encode} decode_us={decode} find_key_us={find} machine_load={}",
        options.workspaces,
        bytes / options.workspaces.max(1),
        folded.as_micros(),
        snapshot.len(),
        machine_load()
    );
    Ok(())
}

/// Load average of the machine over one minute.
fn machine_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}

/// Appends a target record for each engine. It orders the engine to load the model that it already has.
async fn append_orders(options: &Options, log: &Log) -> Outcome<()> {
    let body = json!({"orders": {"load": {"model": "model-0", "version": "1"}}});
    for index in 0..options.engines {
        let name = format!("engine-{index:05}");
        let entry = record::entry(Kind::Target, &name, record::NEWEST_SCHEMA, 0, &body);
        log.append("config", &entry).await?;
    }
    Ok(())
}

/// Result of `work`, and its shortest time over 20 runs in microseconds. The shortest is the one least disturbed by
/// other processes.
fn time<T>(work: impl Fn() -> T) -> (T, u128) {
    let mut best = u128::MAX;
    for _ in 0..20 {
        let start = Instant::now();
        std::hint::black_box(work());
        best = best.min(start.elapsed().as_micros());
    }
    (work(), best)
}

/// Value of the metric line that starts with `name`; 0 if there is none.
fn metric_value(page: &str, name: &str) -> f64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Increments the version of the instance list at `rate` per second until `end`.
async fn versions(rate: f64, version: Arc<std::sync::atomic::AtomicU64>, end: Instant) {
    if rate <= 0.0 {
        return;
    }
    let interval = Duration::from_secs_f64(1.0 / rate);
    while Instant::now() + interval < end {
        Timer::after(interval).await;
        version.fetch_add(1, Ordering::Relaxed);
    }
}
