//! Command-line tool for operators.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    jujubehook::command::run(env::args_os().skip(1))
}
