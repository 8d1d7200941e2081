mod settings;

use std::path::{Path, PathBuf};

use serde_json::json;

use super::options::{no_arguments, single_argument, Options};
use super::{change, folder, output, Error};
use crate::record::Fold;

/// Text of `jujubehook check --help`.
pub(super) const HELP: &str = "\
Usage: jujubehook check [--json] FOLDER
       jujubehook check [--json] --settings FILE

Checks the records in all `.toml` files of a folder, or the settings of a
daemon, without a network. Each message names file, line and key.

A file holds one record:

  schema = 2
  kind = \"domain\"
  name = \"north\"
  [body.service]
  in = true

or several, each as a `[[record]]` table with the same keys.

Options:
  --json           print {\"faults\":[..],\"records\":N}
  --settings FILE  check daemon settings

Examples:
  jujubehook check records
  jujubehook check --json records
  jujubehook check --settings examples/jujubehookd.toml

Exit codes: 0 all valid, 1 unreadable folder or bad settings, 2 bad usage,
3 a record is not valid
";

/// Runs `jujubehook check`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let mut file: Option<PathBuf> = None;
    let (options, values) = Options::offline(parser, &mut |name, parser| {
        if name != "settings" {
            return Ok(false);
        }
        file = Some(parser.value()?.into());
        Ok(true)
    })?;
    let Some(file) = file else {
        return check_folder(&single_argument(values, "FOLDER")?, options.json);
    };
    no_arguments(&values)?;
    settings::check(&file, options.json)
}

fn check_folder(path: &Path, json: bool) -> Result<(), Error> {
    let (items, mut faults) = folder::read(path)?;
    faults.extend(change::faults(&items, &Fold::default()));
    report(items.len(), &faults, json)?;
    match faults.len() {
        0 => Ok(()),
        count => Err(Error::Conflict(format!(
            "faults in `{}`: {count}",
            path.display()
        ))),
    }
}

fn report(records: usize, faults: &[String], json: bool) -> Result<(), Error> {
    if json {
        return output::print_json(&json!({"faults": faults, "records": records}));
    }
    for fault in faults {
        output::warn(fault);
    }
    output::print(&format!("records: {records}\n"))
}
