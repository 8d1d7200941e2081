use std::path::PathBuf;

use serde_json::Value;

use super::location;
use crate::id::Offset;
use crate::record::{self, Kind};

/// A record in a file, as the operator wrote it.
#[derive(Clone, Debug)]
pub(in crate::command) struct Item {
    pub(in crate::command) body: Value,
    pub(in crate::command) file: PathBuf,
    pub(in crate::command) kind: Kind,
    /// First line of the record in the file, counted from 1.
    pub(in crate::command) line: usize,
    pub(in crate::command) name: String,
    pub(in crate::command) schema: u64,
    /// Text of the record in the file.
    pub(in crate::command) text: String,
}

impl Item {
    /// The entry to publish, based on revision `base`.
    pub(in crate::command) fn entry(&self, base: Offset) -> String {
        record::entry(self.kind, &self.name, self.schema, base, &self.body)
    }

    /// The error message for a record that `first` defines already.
    pub(in crate::command) fn describe_duplicate(&self, first: &Item) -> String {
        let (file, line) = (first.file.display(), first.line);
        self.message(
            self.line,
            &format!("already defined in `{file}` line {line}"),
        )
    }

    /// The error message for a record that is invalid for `reason`, with file, line and record.
    pub(in crate::command) fn describe_error(&self, reason: &str) -> String {
        let reason = location::strip_column(reason);
        self.message(
            self.line + location::line_of_reason(&self.text, reason),
            reason,
        )
    }

    fn message(&self, line: usize, reason: &str) -> String {
        let (file, kind, name) = (self.file.display(), self.kind, &self.name);
        format!("`{file}` line {line}: {kind} `{name}`: {reason}")
    }
}
