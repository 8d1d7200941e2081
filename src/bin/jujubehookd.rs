//! The daemon that runs on each entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use jujubehook::daemon::Daemon;
use jujubehook::event;
use jujubehook::settings::Settings;

/// Worker threads; entry instances run on small machines.
const THREADS: &str = "2";

const HELP: &str = "\
jujubehookd serves callers' requests on one instance

Usage: jujubehookd --settings FILE

Options:
  --settings FILE  settings of the instance (TOML); examples/jujubehookd.toml describes them
  --check          check the settings and exit
  --help           print this text
  --version        print the version

Prints `listening address=IP:PORT` on standard output when it listens. SIGTERM and SIGINT stop it gracefully:
targets are handed over and requests in progress finish first. A second signal stops it at once.

Exit codes: 0 stopped gracefully, 1 failure, 2 wrong usage or settings
";

enum Command {
    Check(PathBuf),
    Print(String),
    Run(PathBuf),
}

fn main() -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(error) => return usage(&error.to_string()),
    };
    let (path, check) = match command {
        Command::Check(path) => (path, true),
        Command::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Run(path) => (path, false),
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return usage(&error.to_string()),
    };
    if check {
        println!("settings of `{}` are valid", settings.instance);
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jujubehookd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;

    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("check") => check = true,
            Short('h') | Long("help") => return Ok(Command::Print(HELP.into())),
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Short('V') | Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("jujubehookd {version}\n")));
            }
            _ => return Err(argument.unexpected()),
        }
    }
    let path = path.ok_or("missing option `--settings`")?;
    Ok(if check {
        Command::Check(path)
    } else {
        Command::Run(path)
    })
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    if std::env::var_os("SMOL_THREADS").is_none() {
        std::env::set_var("SMOL_THREADS", THREADS);
    }
    event::start(&settings.log)?;
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let daemon = Daemon::start(settings).await?;
        println!("listening address={}", daemon.address());
        signals.next().await;
        futures_lite::future::or(daemon.shutdown(), async {
            signals.next().await;
        })
        .await;
        Ok(())
    })
}

fn usage(message: &str) -> ExitCode {
    eprintln!("jujubehookd: {message}");
    eprintln!("Try `jujubehookd --help`.");
    ExitCode::from(2)
}
