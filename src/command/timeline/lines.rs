use std::fs;
use std::path::{Path, PathBuf};

use crate::command::Error;
use crate::event::Line;

/// First key of every event line.
const START: &[u8] = b"ts=";

/// Reads all files; returns the lines in order and a message for each malformed line. With `prefixed`, the text before
/// the first key of a line is ignored, and so are lines without that key: a log collector has added them.
pub(super) fn read(files: &[PathBuf], prefixed: bool) -> Result<(Vec<Line>, Vec<String>), Error> {
    let mut lines = Vec::new();
    let mut malformed = Vec::new();
    for file in files {
        let bytes = fs::read(file)
            .map_err(|error| Error::Failed(format!("cannot read `{}`: {error}", file.display())))?;
        collect(file, &bytes, prefixed, &mut lines, &mut malformed);
    }
    lines.sort();
    Ok((lines, malformed))
}

/// Adds the lines of one file.
fn collect(
    file: &Path,
    bytes: &[u8],
    prefixed: bool,
    lines: &mut Vec<Line>,
    malformed: &mut Vec<String>,
) {
    for (index, bytes) in bytes.split(|&byte| byte == b'\n').enumerate() {
        let start = bytes.windows(START.len()).position(|part| part == START);
        let bytes = match (prefixed, start) {
            (false, _) => bytes,
            (true, Some(start)) => &bytes[start..],
            (true, None) => continue,
        };
        if bytes.trim_ascii().is_empty() {
            continue;
        }
        let parsed = match std::str::from_utf8(bytes) {
            Ok(text) => Line::parse(text),
            Err(_) => Err("not UTF-8".into()),
        };
        match parsed {
            Ok(line) => lines.push(line),
            Err(reason) => {
                malformed.push(format!("`{}` line {}: {reason}", file.display(), index + 1));
            }
        }
    }
}
