use std::time::Duration;

use serde::Serialize;

use super::change::{self, Action, Change};
use super::connection::connection_help;
use super::folder::Item;
use super::options::{single_argument, Options};
use super::publish::{publish, Outcome};
use super::replica::Replica;
use super::rollout::{self, Straggler};
use super::{output, plan, Error};
use crate::id::Offset;
use crate::record::Kind;

/// Text of `jujubehook apply --help`.
pub(super) const HELP: &str = concat!(
    "\
Usage: jujubehook apply [OPTION]... FOLDER

Publishes each record of a folder that differs from the one in force. A record
that another operator has changed in the meantime is rejected, not overwritten.
Then waits until the records are in force in all live instances of the instance
list, and names the instances in which they are not.

Options:
  --json          print one JSON object at the end
  --prune         delete the records that are not in the folder
  --wait SECONDS  maximum time to wait until the records are in force
                  everywhere; default 6. 0 does not wait, and needs neither
                  `--list` nor a peer key

",
    connection_help!(),
    "
Examples:
  jujubehook apply --operator operator.toml records
  jujubehook apply --log 10.0.0.5:7000 --wait 0 records

Exit codes: 0 in force everywhere, 1 failure, 2 bad usage, 3 a record is not
valid or was rejected, 4 published but not in force everywhere in time
"
);

/// Default time to wait until the records are in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(6);

/// Maximum value of `--wait` in seconds.
const MAX_WAIT_S: f64 = 3600.0;

#[derive(Debug, Default, Serialize)]
struct Report {
    behind: Vec<Straggler>,
    offset: Offset,
    published: Vec<Published>,
    rejected: Vec<Rejected>,
}

#[derive(Debug, Serialize)]
struct Published {
    action: Action,
    kind: Kind,
    name: String,
    offset: Offset,
}

#[derive(Debug, Serialize)]
struct Rejected {
    kind: Kind,
    name: String,
    reason: String,
}

/// Runs `jujubehook apply`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let mut prune = false;
    let mut limit = DEFAULT_WAIT;
    let (options, values) = Options::parse(parser, &mut |name, parser| {
        match name {
            "prune" => prune = true,
            "wait" => limit = parse_wait(&parser.value()?.to_string_lossy())?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let items = plan::items(&single_argument(values, "FOLDER")?)?;
    smol::block_on(publish_and_wait(&options, &items, prune, limit))
}

async fn publish_and_wait(
    options: &Options,
    items: &[Item],
    prune: bool,
    limit: Duration,
) -> Result<(), Error> {
    let connection = &options.connection;
    // Reports missing options before anything is published.
    let instances = match limit.is_zero() {
        true => None,
        false => Some((connection.list()?, connection.key()?)),
    };
    let mut replica = Replica::read(connection.log()?).await?;
    let changes = change::between(&replica.fold, items, prune)?;
    let mut report = Report::default();
    let published = publish_all(&mut replica, &changes, &mut report, options.json).await;
    report.offset = replica.fold.offset();
    let waited = match (&instances, &published) {
        (Some((list, key)), Ok(())) => rollout::wait(list, key, report.offset, limit).await,
        (Some(_), Err(_)) | (None, _) => Ok(Vec::new()),
    };
    let waited = waited.map(|behind| report.behind = behind);
    print(&report, options.json)?;
    published?;
    check_rejected(&report)?;
    waited?;
    check_rollout(&report)
}

/// Publishes all changes; a rejection does not stop the others.
async fn publish_all(
    replica: &mut Replica,
    changes: &[Change],
    report: &mut Report,
    json: bool,
) -> Result<(), Error> {
    for change in changes {
        let (action, kind, name) = (change.action, change.kind, change.name.clone());
        match publish(replica, change).await? {
            Outcome::Accepted { offset } => {
                if !json {
                    let action = action.name();
                    output::print(&format!("{action} {kind} `{name}`: revision {offset}\n"))?;
                }
                report.published.push(Published {
                    action,
                    kind,
                    name,
                    offset,
                });
            }
            Outcome::Rejected { reason } => report.rejected.push(Rejected { kind, name, reason }),
        }
    }
    Ok(())
}

fn check_rejected(report: &Report) -> Result<(), Error> {
    match report.rejected.len() {
        0 => Ok(()),
        count => Err(Error::Conflict(format!("rejected records: {count}"))),
    }
}

fn check_rollout(report: &Report) -> Result<(), Error> {
    if report.behind.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = report
        .behind
        .iter()
        .map(|straggler| format!("`{}`", straggler.instance))
        .collect();
    Err(Error::Timeout(format!(
        "offset {} is not in force in {}",
        report.offset,
        names.join(", ")
    )))
}

fn parse_wait(text: &str) -> Result<Duration, Error> {
    match text.parse::<f64>() {
        Ok(seconds) if (0.0..=MAX_WAIT_S).contains(&seconds) => {
            Ok(Duration::from_secs_f64(seconds))
        }
        Ok(_) | Err(_) => Err(Error::Usage(format!(
            "`--wait {text}` is not a number of seconds up to {MAX_WAIT_S}"
        ))),
    }
}

fn print(report: &Report, json: bool) -> Result<(), Error> {
    if json {
        return output::print_json(report);
    }
    for rejected in &report.rejected {
        let (kind, name, reason) = (rejected.kind, &rejected.name, &rejected.reason);
        output::warn(&format!("{kind} `{name}` rejected: {reason}"));
    }
    for straggler in &report.behind {
        let (instance, reason) = (&straggler.instance, &straggler.reason);
        output::warn(&format!("instance `{instance}` {reason}"));
    }
    let (published, rejected) = (report.published.len(), report.rejected.len());
    output::print(&format!(
        "published: {published}, rejected: {rejected}, offset: {}\n",
        report.offset
    ))
}
