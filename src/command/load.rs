use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use super::options::no_arguments;
use super::{output, Error};
use crate::event;
use crate::load::{self, Plan, Report, Row};

/// Text of `jujubehook load --help`.
pub(super) const HELP: &str = "\
Usage: jujubehook load [OPTION]...

Sends prompts of 1,000 to 1,000,000 tokens, service calls and sales at random
times that do not depend on the answers, checks every answer and reports what
callers observed. Without `--entry` it starts a fleet in this process on
loopback ports: three domains, 15 instances, 25 engines, 3 services, and
10 workspaces of which two send half of the requests. Latency is measured from
the intended arrival.

Options:
  --rate N           arrivals per second; default 50
  --seconds N        duration of the arrivals; default 60, at most 600
  --seed N           seed of the arrivals; default 1
  --no-long          the same arrivals without prompts of more than 32,000 tokens
  --policy NAME      affinity (default), round-robin or least-loaded; the latter
                     two are first in, first out with all mechanisms off
  --no-chunking      send long prompts to engines in one piece
  --no-packing       do not pack long prompts on few engines
  --no-reserve       reserve no part of an engine for short prompts
  --no-slack         serve the queue first in, first out
  --domain-out SECONDS
                     take a domain out of service at a third of the run, for
                     this time; 20 s of 60 s return it at two thirds
  --cold             start with cold engines and do not warm them up
  --turn-cold SECONDS
                     turn one engine after the other cold, at this interval
  --entry IP:PORT,.. load these instances, on loopback, instead of a fleet
  --log FILE         append the event lines of the fleet to FILE
  --json             print one JSON object
  --plot DIR         write SVG plots to DIR

Examples:
  jujubehook load --rate 50 --seconds 60 --seed 1
  jujubehook load --policy round-robin --json
  jujubehook load --domain-out 20 --plot plots

Exit codes: 0 no wrong answer, no crash of a cold engine, no lost or doubled
sale; 1 otherwise, 2 bad usage
";

/// Worker threads of the embedded fleet and the callers.
const THREADS: &str = "8";

/// Maximum number of arrivals in one run.
const MAX_ARRIVALS: f64 = 100_000.0;

/// Maximum duration of a run in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Routing policies; the first is the default.
const POLICIES: [&str; 3] = ["affinity", "least-loaded", "round-robin"];

#[derive(Debug, Default)]
struct Options {
    json: bool,
    log: Option<PathBuf>,
    plan: Plan,
    plots: Option<PathBuf>,
}

/// Runs `jujubehook load`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let options = parse(parser)?;
    if let Some(file) = &options.log {
        let settings = event::Settings {
            file: Some(file.clone()),
            ..event::Settings::default()
        };
        event::start(&settings).map_err(|error| Error::Failed(error.to_string()))?;
    }
    if std::env::var_os("SMOL_THREADS").is_none() {
        std::env::set_var("SMOL_THREADS", THREADS);
    }
    let report = smol::block_on(load::measure(&options.plan))
        .map_err(|error| Error::Failed(format!("cannot measure: {error}")))?;
    if options.json {
        output::print_json(&report)?;
    } else {
        output::print(&text(&report))?;
    }
    if let Some(folder) = &options.plots {
        plot(folder, &report)
            .map_err(|error| Error::Failed(format!("`{}`: {error}", folder.display())))?;
    }
    let violations = report.violations();
    if violations.is_empty() {
        return Ok(());
    }
    Err(Error::Failed(violations.join(", ")))
}

fn parse(parser: &mut lexopt::Parser) -> Result<Options, Error> {
    use lexopt::prelude::*;

    let mut options = Options::default();
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Err(Error::Help),
            Long(name) => {
                let name = name.to_owned();
                option(&name, parser, &mut options)?;
            }
            Value(value) => values.push(value),
            Short(_) => return Err(argument.unexpected().into()),
        }
    }
    no_arguments(&values)?;
    check(&options.plan)?;
    Ok(options)
}

/// Parses the option `name`.
fn option(name: &str, parser: &mut lexopt::Parser, options: &mut Options) -> Result<(), Error> {
    let plan = &mut options.plan;
    let queue = &mut plan.fleet.queue;
    match name {
        "turn-cold" => plan.cold_interval = Some(duration(name, parser)?),
        "cold" => {
            plan.fleet.engine.cold = true;
            plan.warm_up = 0.0;
        }
        "domain-out" => plan.domain_outage = Some(duration(name, parser)?),
        "entry" => plan.entries = entries(&text_value(name, parser)?)?,
        "json" => options.json = true,
        "log" => options.log = Some(PathBuf::from(parser.value()?)),
        "no-chunking" => queue.chunking = false,
        "no-long" => plan.profile.long = false,
        "no-packing" => queue.packing = false,
        "no-reserve" => queue.reserve = false,
        "no-slack" => queue.slack = false,
        "plot" => options.plots = Some(PathBuf::from(parser.value()?)),
        "policy" => {
            plan.fleet.policy = policy(text_value(name, parser)?)?;
            if plan.fleet.policy != POLICIES[0] {
                (queue.chunking, queue.packing) = (false, false);
                (queue.reserve, queue.slack) = (false, false);
            }
        }
        "rate" => plan.profile.rate = number(name, parser)?,
        "seconds" => plan.profile.seconds = number(name, parser)?,
        "seed" => plan.profile.seed = number(name, parser)?,
        _ => return Err(Error::Usage(format!("unknown option `--{name}`"))),
    }
    Ok(())
}

/// Checks the ranges of options and combinations that exclude each other.
fn check(plan: &Plan) -> Result<(), Error> {
    let (rate, seconds) = (plan.profile.rate, plan.profile.seconds);
    if !(seconds > 0.0 && seconds <= MAX_SECONDS) {
        return Err(Error::Usage(format!(
            "`--seconds` must be above 0 and at most {MAX_SECONDS}, not `{seconds}`"
        )));
    }
    if !(rate > 0.0 && rate * seconds <= MAX_ARRIVALS) {
        return Err(Error::Usage(format!(
            "`--rate` must be above 0 and make at most {MAX_ARRIVALS} arrivals, not `{rate}`"
        )));
    }
    if !plan.entries.is_empty() && (plan.domain_outage.is_some() || plan.cold_interval.is_some()) {
        let message = "`--domain-out` and `--turn-cold` need the embedded fleet, not `--entry`";
        return Err(Error::Usage(message.into()));
    }
    Ok(())
}

/// Parses a comma-separated list of loopback addresses.
fn entries(list: &str) -> Result<Vec<SocketAddr>, Error> {
    let parse = |word: &str| {
        let address: SocketAddr = word
            .parse()
            .map_err(|_| Error::Usage(format!("`{word}` is not IP:PORT")))?;
        if !address.ip().is_loopback() {
            return Err(Error::Usage(format!("`{word}` is not on loopback")));
        }
        Ok(address)
    };
    list.split(',').map(parse).collect()
}

fn number<T: FromStr>(name: &str, parser: &mut lexopt::Parser) -> Result<T, Error> {
    let word = text_value(name, parser)?;
    word.parse()
        .map_err(|_| Error::Usage(format!("`--{name}` needs a number, not `{word}`")))
}

fn policy(name: String) -> Result<String, Error> {
    if POLICIES.contains(&name.as_str()) {
        return Ok(name);
    }
    Err(Error::Usage(format!(
        "unknown policy `{name}`: expected `affinity`, `least-loaded` or `round-robin`"
    )))
}

fn text_value(name: &str, parser: &mut lexopt::Parser) -> Result<String, Error> {
    let value = parser.value()?;
    value
        .into_string()
        .map_err(|_| Error::Usage(format!("the value of `--{name}` is not valid text")))
}

fn duration(name: &str, parser: &mut lexopt::Parser) -> Result<Duration, Error> {
    let seconds = number::<f64>(name, parser)?;
    if (0.1..=MAX_SECONDS).contains(&seconds) {
        return Ok(Duration::from_secs_f64(seconds));
    }
    Err(Error::Usage(format!(
        "`--{name}` must be 0.1 to {MAX_SECONDS}, not `{seconds}`"
    )))
}

/// Formats the report for people.
fn text(report: &Report) -> String {
    let heading = [
        "class",
        "arrivals",
        "ok",
        "late",
        "refused",
        "failed",
        "wrong",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "gap p95 ms",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(report.classes.iter().map(cells));
    let mut text = output::columns(&rows);
    for error in &report.errors {
        let run = if error.not_run { ", not run" } else { "" };
        text += &format!("{} {} {}{run}\n", error.count, error.class, error.kind);
    }
    let (sales, targets) = (&report.sales, &report.targets);
    text += &format!(
        "served {:.2} % of the admitted requests
sales: {} committed, {} lost, {} doubled, {} unknown, {} false refusals
cold engines: {} crashes, at most {} streams
prompt tokens offered: {:.0} per second
control bytes/s of an instance: {:.0} mean, {:.0} at most
this process: {:.1} cores, {:.0} MB at most
",
        report.served_share() * 100.0,
        sales.committed,
        sales.lost,
        sales.doubled,
        sales.unknown,
        sales.false_refusals,
        targets.crashes,
        targets.peak_cold,
        report.offered_tokens,
        report.control.mean,
        report.control.max,
        report.usage.cores,
        report.usage.peak_mb
    );
    text
}

/// The cells of one row of the table of classes.
fn cells(row: &Row) -> Vec<String> {
    let mut cells = vec![row.class.clone()];
    let counts = [
        row.arrivals,
        row.ok,
        row.late,
        row.refused,
        row.failed,
        row.wrong,
    ];
    cells.extend(counts.iter().map(usize::to_string));
    let times = [row.wait_p50, row.wait_p95, row.wait_p99, row.token_gap_p95];
    cells.extend(times.iter().map(|time| format!("{time:.1}")));
    cells
}

fn plot(folder: &Path, report: &Report) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    load::plot_first_tokens(
        &folder.join("first-token.svg"),
        &[("this run", &report.points)],
    )?;
    load::plot_service(&folder.join("service.svg"), &report.timeline)
}
