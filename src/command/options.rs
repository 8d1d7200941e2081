use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

use super::connection::Connection;
use super::Error;

/// Options that several commands share.
#[derive(Debug, Default)]
pub(super) struct Options {
    pub(super) connection: Connection,
    pub(super) json: bool,
}

/// Parses an option that only one command has; returns false if the command does not know it.
type Handler<'a> = &'a mut dyn FnMut(&str, &mut lexopt::Parser) -> Result<bool, Error>;

/// The shared options and the positional arguments.
type Parsed = (Options, Vec<OsString>);

impl Options {
    /// Parses all arguments of a command that uses no network.
    pub(super) fn offline(
        parser: &mut lexopt::Parser,
        handler: Handler<'_>,
    ) -> Result<Parsed, Error> {
        let mut options = Options::default();
        let mut values = Vec::new();
        while let Some(argument) = parser.next()? {
            let name = match argument {
                Short('h') | Long("help") => return Err(Error::Help),
                Long("json") => {
                    options.json = true;
                    continue;
                }
                Long(name) => name.to_owned(),
                Value(value) => {
                    values.push(value);
                    continue;
                }
                Short(_) => return Err(argument.unexpected().into()),
            };
            if !handler(&name, parser)? {
                return Err(Error::Usage(format!("unknown option `--{name}`")));
            }
        }
        Ok((options, values))
    }

    /// Parses all arguments of a command that connects to the platform.
    pub(super) fn parse(
        parser: &mut lexopt::Parser,
        handler: Handler<'_>,
    ) -> Result<Parsed, Error> {
        let mut connection = Connection::default();
        let (options, values) = Options::offline(parser, &mut |name, parser| {
            Ok(handler(name, parser)? || connection.accept(name, parser)?)
        })?;
        let options = Options {
            connection,
            ..options
        };
        Ok((options, values))
    }
}

/// The positional argument `name`, which must be the only one.
pub(super) fn single_argument(mut values: Vec<OsString>, name: &str) -> Result<PathBuf, Error> {
    match (values.pop(), values.is_empty()) {
        (Some(value), true) => Ok(value.into()),
        (None, _) => Err(Error::Usage(format!("`{name}` is missing"))),
        (Some(_), false) => Err(Error::Usage(format!("more than one `{name}`"))),
    }
}

/// Checks that there are no positional arguments.
pub(super) fn no_arguments(values: &[OsString]) -> Result<(), Error> {
    match values.first() {
        None => Ok(()),
        Some(value) => Err(Error::Usage(format!(
            "unexpected argument `{}`",
            value.to_string_lossy()
        ))),
    }
}
