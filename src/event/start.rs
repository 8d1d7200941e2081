use std::fs::OpenOptions;
use std::io::{self, Error};
use std::path::Path;
use std::sync::Arc;

use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::writer::{BoxMakeWriter, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use super::{Level, Settings, TARGET};

/// Starts logging for the whole process.
///
/// # Errors
/// Fails if the file cannot be opened or logging has already been started.
pub fn start(settings: &Settings) -> io::Result<()> {
    let writer = match &settings.file {
        Some(path) => open(path)?,
        None => BoxMakeWriter::new(io::stderr),
    };
    subscribe(writer, settings.level)
}

/// Writes this crate's events of at least `level` to `writer`.
pub(super) fn subscribe(
    writer: impl for<'a> MakeWriter<'a> + Send + Sync + 'static,
    level: Level,
) -> io::Result<()> {
    let layer = tracing_logfmt::builder()
        .with_span_name(false)
        .with_span_path(false)
        // In event lines, the key `target` names a back end.
        .with_target(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(Targets::new().with_target(TARGET, level))
        .with(layer)
        .try_init()
        .map_err(Error::other)
}

fn open(path: &Path) -> io::Result<BoxMakeWriter> {
    let file = OpenOptions::new()
        .append(true)
        .create(true)
        .open(path)
        .map_err(|error| {
            Error::new(
                error.kind(),
                format!("log file `{}`: {error}", path.display()),
            )
        })?;
    Ok(BoxMakeWriter::new(Arc::new(file)))
}
