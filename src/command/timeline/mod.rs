mod diagram;
mod filter;
mod lines;

use std::fs;
use std::path::PathBuf;

use lexopt::prelude::*;
use serde_json::{json, Map, Value as Json};

use super::{output, Error};
use crate::event::Line;
use filter::Filter;

/// Text of `jujubehook timeline --help`.
pub(super) const HELP: &str = "\
Usage: jujubehook timeline [OPTION]... FILE...

Merges the event lines of all files into one order by logical time, wall time
and instance. A malformed line is reported with its file and line; the others
are printed, and the exit code is 1.

Options:
  --domain NAME   only events logged in this failure domain
  --json          print one JSON object per line
  --prefixed      ignore what a log collector added: prefixes of event lines and
                  lines of its own
  --request ID    only events of this request (16 hexadecimal digits)
  --svg FILE      also write a diagram with one row per instance and arrows
                  between the hops of a request
  --target NAME   only events of this target

Examples:
  jujubehook timeline logs/*.log
  jujubehook timeline --request 00c0ffee00c0ffee --svg request.svg logs/*.log

Exit codes: 0 success, 1 failure or a malformed line, 2 bad usage
";

#[derive(Default)]
struct Options {
    files: Vec<PathBuf>,
    filter: Filter,
    json: bool,
    prefixed: bool,
    svg: Option<PathBuf>,
}

/// Runs `jujubehook timeline`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    let options = parse(parser)?;
    let (all, malformed) = lines::read(&options.files, options.prefixed)?;
    for message in &malformed {
        output::warn(message);
    }
    let selected: Vec<Line> = all
        .into_iter()
        .filter(|line| options.filter.matches(line))
        .collect();
    if let Some(path) = &options.svg {
        let svg = diagram::draw(&selected)?;
        fs::write(path, svg).map_err(|error| {
            Error::Failed(format!("cannot write `{}`: {error}", path.display()))
        })?;
    }
    output::print(&if options.json {
        objects(&selected)
    } else {
        table(&selected)
    })?;
    match malformed.len() {
        0 => Ok(()),
        count => Err(Error::Failed(format!("malformed lines: {count}"))),
    }
}

fn parse(parser: &mut lexopt::Parser) -> Result<Options, Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("domain") => options.filter.domain = Some(parser.value()?.string()?),
            Short('h') | Long("help") => return Err(Error::Help),
            Long("json") => options.json = true,
            Long("prefixed") => options.prefixed = true,
            Long("request") => options.filter.request = Some(request(&parser.value()?.string()?)?),
            Long("svg") => options.svg = Some(parser.value()?.into()),
            Long("target") => options.filter.target = Some(parser.value()?.string()?),
            Value(file) => options.files.push(file.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.files.is_empty() {
        return Err(Error::Usage("a `FILE` is missing".into()));
    }
    Ok(options)
}

/// Parses a request id and formats it as in event lines.
fn request(text: &str) -> Result<String, Error> {
    let id = u64::from_str_radix(text, 16);
    match id {
        Ok(id) if text.len() <= 16 && !text.starts_with('+') => Ok(crate::event::hex(id)),
        _ => Err(Error::Usage(format!(
            "`--request {text}` is not an id of up to 16 hexadecimal digits"
        ))),
    }
}

fn objects(lines: &[Line]) -> String {
    let object = |line: &Line| {
        let fields: Map<String, Json> = line
            .fields
            .iter()
            .map(|(key, value)| (key.clone(), json!(value)))
            .collect();
        let value = json!({
            "domain": line.domain,
            "event": line.event,
            "fields": fields,
            "instance": line.instance,
            "time": line.time,
            "ts": line.ts,
        });
        format!("{value}\n")
    };
    lines.iter().map(object).collect()
}

fn table(lines: &[Line]) -> String {
    let heading = ["time", "ts", "domain", "instance", "event", "fields"];
    let mut rows = vec![heading.map(String::from).to_vec()];
    for line in lines {
        let pair = |(key, value): &(String, String)| format!("{key}={}", quoted(value));
        let pairs: Vec<String> = line.fields.iter().map(pair).collect();
        rows.push(vec![
            line.time.to_string(),
            line.ts.clone(),
            quoted(&line.domain),
            quoted(&line.instance),
            quoted(&line.event),
            pairs.join(" "),
        ]);
    }
    output::columns(&rows)
}

/// Quotes and escapes a value unless it is a plain word, so that no control characters reach the terminal.
fn quoted(value: &str) -> String {
    let plain = |c: char| c.is_alphanumeric() || c.is_ascii_punctuation() && c != '"' && c != '\\';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
