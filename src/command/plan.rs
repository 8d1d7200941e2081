use std::path::Path;

use super::change::{self, Change};
use super::connection::connection_help;
use super::folder::Item;
use super::options::{single_argument, Options};
use super::replica::Replica;
use super::{folder, output, Error};

/// Text of `jujubehook plan --help`.
pub(super) const HELP: &str = concat!(
    "\
Usage: jujubehook plan [OPTION]... FOLDER

Shows how the records of a folder differ from those in force. Bodies are shown
in the form of schema 2. Nothing is published.

Options:
  --json   print one JSON array
  --prune  include the deletion of records that are not in the folder

",
    connection_help!(),
    "
Examples:
  jujubehook plan --log 10.0.0.5:7000 records
  jujubehook plan --operator operator.toml --prune records

Exit codes: 0 success, 1 failure, 2 bad usage, 3 a record is not valid
"
);

/// Runs `jujubehook plan`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let mut prune = false;
    let (options, values) = Options::parse(parser, &mut |name, _| {
        prune |= name == "prune";
        Ok(name == "prune")
    })?;
    let items = items(&single_argument(values, "FOLDER")?)?;
    let log = options.connection.log()?;
    let replica = smol::block_on(Replica::read(log))?;
    let changes = change::between(&replica.fold, &items, prune)?;
    if options.json {
        return output::print_json(&changes);
    }
    output::print(&text(&changes))
}

/// Reads the records of a folder. All errors are printed before the command fails.
pub(super) fn items(path: &Path) -> Result<Vec<Item>, Error> {
    let (items, faults) = folder::read(path)?;
    for fault in &faults {
        output::warn(fault);
    }
    match faults.len() {
        0 => Ok(items),
        count => Err(Error::Conflict(format!(
            "faults in `{}`: {count}",
            path.display()
        ))),
    }
}

fn text(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no change\n".into();
    }
    let mut text = String::new();
    for change in changes {
        let (action, kind, name) = (change.action.name(), change.kind, &change.name);
        text.push_str(&format!(
            "{action} {kind} `{name}` (base {})\n",
            change.base
        ));
        for difference in &change.differences {
            let (key, from, to) = (&difference.key, &difference.from, &difference.to);
            text.push_str(&format!("  {key}: {from} -> {to}\n"));
        }
    }
    text
}
