//! Subcommands of the `jujubehook` command line.

mod apply;
mod change;
mod check;
mod connection;
mod demo;
mod error;
mod exit;
mod folder;
mod load;
mod options;
mod output;
mod plan;
mod probe;
mod publish;
mod replica;
mod rollout;
mod show;
mod status;
mod table;
mod timeline;

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::prelude::*;

pub use error::Error;
pub use exit::Exit;
pub use table::Command;
pub use table::COMMANDS;

/// Runs the command line with the arguments that follow the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut parser = lexopt::Parser::from_args(arguments);
    let outcome = match parser.next() {
        Ok(Some(Short('h') | Long("help"))) => output::print(&table::help()),
        Ok(Some(Short('V') | Long("version"))) => output::print(&table::version()),
        Ok(Some(Value(name))) => dispatch(&name, &mut parser),
        Ok(Some(other)) => Err(other.unexpected().into()),
        Ok(None) => Err(Error::Usage("a command is missing".into())),
        Err(error) => Err(error.into()),
    };
    match outcome {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            output::warn(&format!("error: {error}"));
            error.exit().into()
        }
    }
}

/// Runs the subcommand `name` with the remaining arguments.
fn dispatch(name: &OsString, parser: &mut lexopt::Parser) -> Result<(), Error> {
    let name = name.to_string_lossy();
    let index = COMMANDS
        .binary_search_by(|command| command.name.cmp(&name))
        .map_err(|_| Error::Usage(format!("unknown command `{name}`")))?;
    match (COMMANDS[index].run)(parser) {
        Err(Error::Help) => output::print(COMMANDS[index].help),
        outcome => outcome,
    }
}
