use std::path::PathBuf;

use serde_json::Value;

use super::place;
use crate::id::Offset;
use crate::record::{self, Kind};

/// One record of a folder, as an operator wrote it.
#[derive(Clone, Debug)]
pub(in crate::command) struct Item {
    pub(in crate::command) body: Value,
    pub(in crate::command) file: PathBuf,
    pub(in crate::command) kind: Kind,
    /// First line of the record in the file, from 1.
    pub(in crate::command) line: usize,
    pub(in crate::command) name: String,
    pub(in crate::command) schema: u64,
    /// The lines of the record.
    pub(in crate::command) text: String,
}

impl Item {
    /// The entry to publish on top of the revision `base`.
    pub(in crate::command) fn entry(&self, base: Offset) -> String {
        record::entry(self.kind, &self.name, self.schema, base, &self.body)
    }

    /// Says that `first` is the same record.
    pub(in crate::command) fn duplicate(&self, first: &Item) -> String {
        let (file, line) = (first.file.display(), first.line);
        self.report(
            self.line,
            &format!("published in `{file}` line {line} already"),
        )
    }

    /// Puts file, line and record in front of the reason why the record is not valid.
    pub(in crate::command) fn fault(&self, reason: &str) -> String {
        let reason = place::strip_column(reason);
        self.report(self.line + place::of_reason(&self.text, reason), reason)
    }

    fn report(&self, line: usize, reason: &str) -> String {
        let (file, kind, name) = (self.file.display(), self.kind, &self.name);
        format!("`{file}` line {line}: {kind} `{name}`: {reason}")
    }
}
