use std::io::{self, ErrorKind, Write};

use serde::Serialize;

use super::Error;

/// Prints to standard output; a closed pipe is not an error.
pub(super) fn print(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(Error::Failed(format!("cannot write the output: {error}")))
        }
        _ => Ok(()),
    }
}

/// Prints a JSON value on one line.
pub(super) fn print_json(value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string(value)
        .map_err(|error| Error::Failed(format!("cannot write the output: {error}")))?;
    print(&(text + "\n"))
}

/// Aligns rows of cells in columns; the first row is the heading.
pub(super) fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, &width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Prints a message to standard error.
pub(super) fn warn(message: &str) {
    // There is nowhere to report a failure to write to standard error.
    let _ = writeln!(io::stderr(), "{message}");
}
