use super::{apply, check, demo, load, plan, show, status, timeline, Error};

/// A subcommand.
#[derive(Debug)]
pub struct Command {
    /// Text of `--help`.
    pub help: &'static str,
    /// Name on the command line.
    pub name: &'static str,
    /// Parses the remaining arguments and runs the command.
    pub run: fn(&mut lexopt::Parser) -> Result<(), Error>,
    /// Line in the list of commands.
    pub summary: &'static str,
}

/// All subcommands, sorted by name.
pub const COMMANDS: &[Command] = &[
    Command {
        help: apply::HELP,
        name: "apply",
        run: apply::run,
        summary: "publish the records of a folder and wait until they are in force",
    },
    Command {
        help: check::HELP,
        name: "check",
        run: check::run,
        summary: "check records or daemon settings without a network",
    },
    Command {
        help: demo::HELP,
        name: "demo",
        run: demo::run,
        summary: "run a small fleet in one process and send it requests",
    },
    Command {
        help: load::HELP,
        name: "load",
        run: load::run,
        summary: "load a fleet and report what callers observed",
    },
    Command {
        help: plan::HELP,
        name: "plan",
        run: plan::run,
        summary: "show what `apply` would change",
    },
    Command {
        help: show::HELP,
        name: "show",
        run: show::run,
        summary: "print the records in force",
    },
    Command {
        help: status::HELP,
        name: "status",
        run: status::run,
        summary: "show instances and targets",
    },
    Command {
        help: timeline::HELP,
        name: "timeline",
        run: timeline::run,
        summary: "merge the event lines of several processes",
    },
];

/// Text of `jujubehook --help`.
pub(super) fn help() -> String {
    let row = |command: &Command| format!("  {:<10}{}\n", command.name, command.summary);
    let rows: String = COMMANDS.iter().map(row).collect();
    format!(
        "Usage: jujubehook COMMAND [OPTION]...

Commands:
{rows}
`jujubehook COMMAND --help` describes a command. `--version` prints the version.

Exit codes:
  0  success
  1  failure
  2  bad usage
  3  a record was rejected or conflicts with another one
  4  records are not in force everywhere in time
"
    )
}

/// Text of `jujubehook --version`.
pub(super) fn version() -> String {
    format!("jujubehook {}\n", env!("CARGO_PKG_VERSION"))
}
