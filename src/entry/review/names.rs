use std::time::Duration;

use super::super::RouteKind;

/// Fields of a configuration.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[allow(missing_docs)] // The names are those of the fields of the types.
pub enum Field {
    AllowAnonymous,
    ColdPerS,
    ContextPerK,
    Gap,
    Host,
    IdleTimeout,
    Keys,
    Kind,
    Limits,
    MaxAttempts,
    MaxBodyBytes,
    MaxHeaderBytes,
    MemoryTokens,
    Name,
    Objective,
    PairsPerM,
    Prefix,
    Priority,
    Profile,
    ReadPerS,
    Resumable,
    Routes,
    Service,
    Services,
    Shares,
    Slots,
    Step,
    Stride,
    Timeout,
    Version,
    Weight,
    Workspaces,
}

/// Names in the text of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// Name of a field.
    pub field: fn(Field) -> &'static str,
    /// Name of a kind of routes.
    pub kind: fn(RouteKind) -> &'static str,
}

impl Names {
    /// Place of an entry of a list.
    pub fn entry(&self, list: Field, index: usize) -> String {
        format!("{}[{index}]", (self.field)(list))
    }

    /// Place of a field of what is at `place`.
    pub fn within(&self, place: &str, field: Field) -> String {
        format!("{place}.{}", (self.field)(field))
    }
}

/// A text of the configuration in a message. Control characters are escaped, so that a message stays on its line.
pub(super) fn quote(text: &str) -> String {
    let mut quoted = String::from("`");
    for character in text.chars() {
        match character.is_control() {
            true => quoted.extend(character.escape_default()),
            false => quoted.push(character),
        }
    }
    quoted.push('`');
    quoted
}

/// A time in milliseconds.
pub(super) fn millis(time: Duration) -> String {
    format!("{}", time.as_nanos() as f64 / 1e6)
}
