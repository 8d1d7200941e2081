use std::io::{Result, Write};
use std::time::Duration;

use serde::Serialize;

use super::{Field, Names};

/// Longest time that a configuration may state.
pub const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Range of a time, in milliseconds.
pub const TIMES: [f64; 2] = [0.0, MAX_TIME.as_secs() as f64 * 1e3];

/// Range of a timeout, in milliseconds. A request that times out at once is never sent.
pub const TIMEOUTS: [f64; 2] = [1.0, TIMES[1]];

/// Range of the number of attempts.
pub const ATTEMPTS: [f64; 2] = [1.0, u32::MAX as f64];

/// A message about one place of a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Place, with the names of the text.
    pub place: String,
    /// Message.
    pub message: String,
}

impl Finding {
    /// The entry of a list that the place is in.
    fn entry(&self) -> &str {
        self.place.split('.').next().unwrap_or_default()
    }
}

/// What a review found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Errors: the configuration must not be written.
    pub errors: Vec<Finding>,
    /// Entries that can never match, and contradictory limits.
    pub warnings: Vec<Finding>,
    /// Differences from the version in force.
    pub changes: Vec<Finding>,
}

impl Report {
    /// Adds an error.
    pub fn error(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.errors.push(finding(place, message));
    }

    /// Adds a warning.
    pub fn warn(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.warnings.push(finding(place, message));
    }

    /// Adds a difference.
    pub fn change(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.changes.push(finding(place, message));
    }

    /// Checks the numbers of what is at `place`, as they are written: the types of the library shorten them.
    pub fn check_numbers(
        &mut self,
        place: &str,
        names: &Names,
        numbers: &[(Field, f64, [f64; 2])],
    ) {
        for (field, value, [low, high]) in numbers {
            if !(low..=high).contains(&value) {
                let message = format!("{value} is outside {low} to {high}");
                self.error(names.within(place, *field), message);
            }
        }
    }

    /// Removes the warnings about entries that have an error, since they may follow from it.
    pub(super) fn drop_consequences(&mut self) {
        let mut faulty: Vec<&str> = self.errors.iter().map(Finding::entry).collect();
        faulty.sort_unstable();
        self.warnings
            .retain(|warning| faulty.binary_search(&warning.entry()).is_err());
    }

    /// Writes the findings as one JSON object, or as text with a line for each.
    pub fn write(&self, out: &mut impl Write, json: bool) -> Result<()> {
        if json {
            serde_json::to_writer(&mut *out, self)?;
            return writeln!(out);
        }
        let lists = [
            ("error", &self.errors),
            ("warning", &self.warnings),
            ("change", &self.changes),
        ];
        for (kind, findings) in lists {
            for Finding { place, message } in findings {
                writeln!(out, "{kind}: {place}: {message}")?;
            }
        }
        Ok(())
    }
}

fn finding(place: impl Into<String>, message: impl Into<String>) -> Finding {
    Finding {
        place: place.into(),
        message: message.into(),
    }
}
