//! Logging set-up and event lines.
//!
//! Each event is one line of `key=value` pairs, with at least `ts` (wall time, UTC), `level`, `event` (its name),
//! `time` (logical time), `instance` and `domain`. Ids are formatted by [`hex`]. Prompt text and keys are never logged.

mod bounded;
mod level;
mod line;
mod pairs;
mod settings;
mod source;
mod start;

pub use bounded::{flush, start_bounded};
pub use level::Level;
pub use line::Line;
pub use settings::Settings;
pub use source::Source;
pub use start::start;

/// The `tracing` target of this crate's events; events with other targets are not logged.
pub const TARGET: &str = "jujubehook";

/// Formats an id as 16 hexadecimal digits.
pub fn hex(id: u64) -> String {
    format!("{id:016x}")
}

/// Logs one event of an instance: `event!(source, "dispatch", request = event::hex(id), attempt = 1)`.
///
/// `source` is an [`event::Source`](crate::event::Source) or anything that dereferences to it. The fields have
/// the syntax of `tracing`. A level other than `info` comes first: `event!(warn, source, "alarm", kind = "log_down")`.
/// The arguments are evaluated only if the level is enabled.
#[macro_export]
macro_rules! event {
    (debug, $source:expr, $name:literal $($fields:tt)*) => {
        $crate::event!(@DEBUG, $source, $name $($fields)*)
    };
    (error, $source:expr, $name:literal $($fields:tt)*) => {
        $crate::event!(@ERROR, $source, $name $($fields)*)
    };
    (warn, $source:expr, $name:literal $($fields:tt)*) => {
        $crate::event!(@WARN, $source, $name $($fields)*)
    };
    (@$level:ident, $source:expr, $name:literal $(, $($fields:tt)+)?) => {{
        let source: &$crate::event::Source = &$source;
        ::tracing::event!(
            target: $crate::event::TARGET,
            ::tracing::Level::$level,
            event = $name,
            time = source.clock().tick(),
            instance = source.instance(),
            domain = source.domain(),
            $($($fields)+)?
        );
    }};
    ($source:expr, $name:literal $($fields:tt)*) => {
        $crate::event!(@INFO, $source, $name $($fields)*)
    };
}
