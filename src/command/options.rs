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

/// What a command's own parser does with an option; `false` if it does not know it.
type Own<'a> = &'a mut dyn FnMut(&str, &mut lexopt::Parser) -> Result<bool, Error>;

/// The shared options and the positional arguments.
type Parsed = (Options, Vec<OsString>);

impl Options {
    /// Reads all arguments of a command without a network.
    pub(super) fn offline(parser: &mut lexopt::Parser, own: Own<'_>) -> Result<Parsed, Error> {
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
            if !own(&name, parser)? {
                return Err(Error::Usage(format!("unknown option `--{name}`")));
            }
        }
        Ok((options, values))
    }

    /// Reads all arguments of a command that talks to the platform.
    pub(super) fn parse(parser: &mut lexopt::Parser, own: Own<'_>) -> Result<Parsed, Error> {
        let mut connection = Connection::default();
        let (options, values) = Options::offline(parser, &mut |name, parser| {
            Ok(own(name, parser)? || connection.accept(name, parser)?)
        })?;
        let options = Options {
            connection,
            ..options
        };
        Ok((options, values))
    }
}

/// The only positional argument.
pub(super) fn single(mut values: Vec<OsString>, name: &str) -> Result<PathBuf, Error> {
    match (values.pop(), values.is_empty()) {
        (Some(value), true) => Ok(value.into()),
        (None, _) => Err(Error::Usage(format!("`{name}` is missing"))),
        (Some(_), false) => Err(Error::Usage(format!("more than one `{name}`"))),
    }
}

/// No positional argument.
pub(super) fn none(values: &[OsString]) -> Result<(), Error> {
    match values.first() {
        None => Ok(()),
        Some(value) => Err(Error::Usage(format!(
            "unexpected argument `{}`",
            value.to_string_lossy()
        ))),
    }
}
