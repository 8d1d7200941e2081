use serde::Serialize;
use serde_json::Value;

use super::connection::connection_help;
use super::options::{no_arguments, Options};
use super::replica::Replica;
use super::{output, Error};
use crate::record::{Kind, Record, NEWEST_SCHEMA};

/// Text of `jujubehook show --help`.
pub(super) const HELP: &str = concat!(
    "\
Usage: jujubehook show [OPTION]...

Prints the records in force in the TOML form that `check`, `plan` and `apply`
read. All bodies are in the form of schema 2; comments show the revision and
the schema version of the published entry.

Options:
  --json       print one JSON array
  --kind KIND  only `domain`, `service`, `target` or `workspace` records
  --name NAME  only records of this name

",
    connection_help!(),
    "
Examples:
  jujubehook show --log 10.0.0.5:7000
  jujubehook show --operator operator.toml --kind domain --json

Exit codes: 0 success, 1 failure, 2 bad usage
"
);

#[derive(Serialize)]
struct Table<'a> {
    record: [Row<'a>; 1],
}

#[derive(Serialize)]
struct Row<'a> {
    schema: u64,
    kind: Kind,
    name: &'a str,
    body: Value,
}

/// Runs `jujubehook show`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let mut kind: Option<Kind> = None;
    let mut name: Option<String> = None;
    let (options, values) = Options::parse(parser, &mut |option, parser| {
        match option {
            "kind" => kind = Some(parse_kind(&parser.value()?.to_string_lossy())?),
            "name" => name = Some(parser.value()?.to_string_lossy().into_owned()),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    no_arguments(&values)?;
    let replica = smol::block_on(Replica::read(options.connection.log()?))?;
    let selected = |record: &&Record| {
        kind.is_none_or(|kind| kind == record.kind())
            && name.as_ref().is_none_or(|name| name == record.name())
    };
    let records: Vec<_> = replica.fold.records().iter().filter(selected).collect();
    if options.json {
        return output::print_json(&records);
    }
    let mut text = format!("# offset {}\n", replica.fold.offset());
    for record in records {
        text.push_str(&table(record)?);
    }
    output::print(&text)
}

fn parse_kind(name: &str) -> Result<Kind, Error> {
    Kind::from_name(name).ok_or_else(|| Error::Usage(format!("unknown record kind `{name}`")))
}

fn table(record: &Record) -> Result<String, Error> {
    let row = Row {
        schema: NEWEST_SCHEMA,
        kind: record.kind(),
        name: record.name(),
        body: record.json(),
    };
    let text = toml::to_string(&Table { record: [row] })
        .map_err(|error| Error::Failed(format!("cannot write the output: {error}")))?;
    let (revision, schema) = (record.revision, record.schema);
    Ok(format!(
        "\n# revision {revision}, published in schema {schema}\n{text}"
    ))
}
