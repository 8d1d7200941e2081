//! Runs one stand-in as a process.

use std::process::ExitCode;

use jujubehook_standin::command;

fn main() -> ExitCode {
    match smol::block_on(command::run(lexopt::Parser::from_env())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
