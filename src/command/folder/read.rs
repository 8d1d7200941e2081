use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use toml::Spanned;

use super::{location, value, Item};
use crate::command::Error;
use crate::record::Kind;

/// Maximum size of a record file in bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Header of a record in a file with several records.
const HEADER: &str = "[[record]]";

/// A file with several records.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Records {
    record: Vec<Spanned<Raw>>,
}

/// A record as written in a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    body: toml::Table,
    kind: Spanned<Kind>,
    name: String,
    schema: u64,
}

/// Reads all `.toml` files of a folder in name order. Returns the records, sorted by kind and name, and one message for
/// each error.
pub(in crate::command) fn read(folder: &Path) -> Result<(Vec<Item>, Vec<String>), Error> {
    let mut items = Vec::new();
    let mut faults = Vec::new();
    for path in record_files(folder)? {
        match read_file(&path) {
            Ok(more) => items.extend(more),
            Err(fault) => faults.push(fault),
        }
    }
    items.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    for pair in items.windows(2) {
        if (pair[0].kind, &pair[0].name) == (pair[1].kind, &pair[1].name) {
            faults.push(pair[1].describe_duplicate(&pair[0]));
        }
    }
    Ok((items, faults))
}

fn read_file(path: &Path) -> Result<Vec<Item>, String> {
    let name = path.display();
    let unreadable = |error: std::io::Error| format!("cannot read `{name}`: {error}");
    let size = fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!(
            "`{name}` exceeds the limit of {MAX_FILE_BYTES} bytes"
        ));
    }
    let text = fs::read_to_string(path).map_err(unreadable)?;
    let fault = |error| format!("`{name}` {}", location::describe_error(&text, &error));
    let table: toml::Table = toml::from_str(&text).map_err(fault)?;
    if table.is_empty() {
        return Ok(Vec::new());
    }
    if table.contains_key("record") {
        let records: Records = toml::from_str(&text).map_err(fault)?;
        let items = records.record.into_iter();
        return items
            .map(|raw| item(path, &text, raw.into_inner(), true))
            .collect();
    }
    let raw = toml::from_str(&text).map_err(fault)?;
    Ok(vec![item(path, &text, raw, false)?])
}

fn record_files(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let failed = |error: std::io::Error| {
        Error::Failed(format!(
            "cannot read folder `{}`: {error}",
            folder.display()
        ))
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn item(path: &Path, text: &str, raw: Raw, is_listed: bool) -> Result<Item, String> {
    let (start, end) = match is_listed {
        true => record_span(text, raw.kind.span().start),
        false => (0, text.len()),
    };
    let mut item = Item {
        body: serde_json::Value::Null,
        file: path.to_owned(),
        kind: raw.kind.into_inner(),
        line: location::line_of_span(text, Some(start..end)),
        name: raw.name,
        schema: raw.schema,
        text: text[start..end].to_owned(),
    };
    item.body = value::object(&raw.body).map_err(|reason| item.describe_error(&reason))?;
    Ok(item)
}

/// The bytes of the record around `offset` in a file with several records: from its header to the next one.
fn record_span(text: &str, offset: usize) -> (usize, usize) {
    let start = text[..offset].rfind(HEADER).unwrap_or(0);
    let end = text[offset..]
        .find(HEADER)
        .map_or(text.len(), |next| offset + next);
    (start, end)
}
