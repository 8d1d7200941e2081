mod rows;

use serde_json::{json, Value};

use super::connection::connection_help;
use super::options::{no_arguments, Options};
use super::probe::{self, Status};
use super::{output, Error};
use crate::remote::Member;

/// Text of `jujubehook status --help`.
pub(super) const HELP: &str = concat!(
    "\
Usage: jujubehook status [OPTION]...

Requests the status of every instance in the instance list. Prints one row per
instance, one per target and the alarms. The row of a target comes from its
owner if that answers.

Options:
  --json  print one JSON object

",
    connection_help!(),
    "
Examples:
  jujubehook status --operator operator.toml
  jujubehook status --list 10.0.0.6:7001 --peer-key-file peer.key --json

Exit codes: 0 all instances answer, 1 failure or an instance does not answer,
2 bad usage
"
);

/// An instance and its status, or why it did not answer.
type Answer = (Member, Result<Status, String>);

/// Runs `jujubehook status`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let (options, values) = Options::parse(parser, &mut |_, _| Ok(false))?;
    no_arguments(&values)?;
    let answers = smol::block_on(fetch_statuses(&options))?;
    if options.json {
        output::print_json(&json_object(&answers))?;
    } else {
        output::print(&rows::text(&answers))?;
    }
    let failed = answers.iter().filter(|(_, answer)| answer.is_err());
    let names: Vec<_> = failed
        .map(|(member, _)| format!("`{}`", member.id))
        .collect();
    if names.is_empty() {
        return Ok(());
    }
    Err(Error::Failed(format!(
        "no status from {}",
        names.join(", ")
    )))
}

/// Requests the status of all listed instances.
async fn fetch_statuses(options: &Options) -> Result<Vec<Answer>, Error> {
    let key = options.connection.key()?;
    let listing = options.connection.list()?.fetch(None).await;
    let listing = listing
        .map_err(|error| Error::Failed(format!("cannot read the instance list: {error}")))?
        .unwrap_or_default();
    let members = probe::entries(&listing, false);
    let answers = probe::statuses(&members, &key).await;
    Ok(members.into_iter().zip(answers).collect())
}

fn json_object(answers: &[Answer]) -> Value {
    let instances: Vec<Value> = answers
        .iter()
        .map(|(member, answer)| match answer {
            Ok(status) => json!({"listed": member, "status": status}),
            Err(error) => json!({"listed": member, "error": error}),
        })
        .collect();
    json!({ "instances": instances })
}
