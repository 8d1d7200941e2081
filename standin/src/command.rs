//! Command line: one subcommand per stand-in.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;

use futures_lite::future;
use lexopt::{Arg, Parser, ValueExt};
use quick_error::quick_error;

use crate::{engine, list, log, service, store, Engine, List, Log, Service, Store};

/// Text for `--help`.
const HELP: &str = "\
Usage: standin <engine|list|log|service|store> --listen IP:PORT [--SETTING VALUE]...

Prints `listening address=IP:PORT` when ready. `docs/standins.md` lists the settings.
";

quick_error! {
    /// Errors of the command line.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is malformed.
        Arguments(source: lexopt::Error) {
            display("{source}")
            from()
        }
        /// The server cannot start, or the address cannot be printed.
        Start(source: io::Error) {
            display("cannot start: {source}")
            from()
        }
        /// There is no such subcommand.
        Subcommand(name: String) {
            display("unknown subcommand `{name}`")
        }
    }
}

/// Runs the stand-in that the command line names until the process is killed.
///
/// # Errors
/// Fails if the command line is malformed or the address cannot be bound.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let name = match parser.next()? {
        Some(Arg::Value(name)) => name.string()?,
        Some(Arg::Long("help") | Arg::Short('h')) | None => return help(),
        Some(other) => return Err(other.unexpected().into()),
    };
    match name.as_str() {
        "engine" => run_engine(parser).await,
        "list" => run_list(parser).await,
        "log" => run_log(parser).await,
        "service" => run_service(parser).await,
        "store" => run_store(parser).await,
        _ => Err(Error::Subcommand(name)),
    }
}

async fn run_engine(mut parser: Parser) -> Result<(), Error> {
    let (mut listen, mut settings) = (any_port(), engine::Settings::default());
    while let Some(name) = next_option(&mut parser)? {
        match name.as_str() {
            "boot" => settings.boot = parse_value(&mut parser)?,
            "check-fencing" => settings.check_fencing = parse_value(&mut parser)?,
            "cold" => settings.cold = parse_value(&mut parser)?,
            "cold-factor" => settings.cold_factor = parse_value(&mut parser)?,
            "cold-limit" => settings.cold_limit = parse_value(&mut parser)?,
            "decode-rate" => settings.decode_rate = parse_value(&mut parser)?,
            "lag-ms" => settings.lag_ms = parse_value(&mut parser)?,
            "listen" => listen = parse_value(&mut parser)?,
            "memory" => settings.memory = parse_value(&mut parser)?,
            "model" => settings.model = parse_value(&mut parser)?,
            "prefill-rate" => settings.prefill_rate = parse_value(&mut parser)?,
            "restart-ms" => settings.restart_ms = parse_value(&mut parser)?,
            "resume-ms" => settings.resume_ms = parse_value(&mut parser)?,
            "store" => settings.store = Some(parse_value(&mut parser)?),
            "version" => settings.version = parse_value(&mut parser)?,
            "warm-after" => settings.warm_after = parse_value(&mut parser)?,
            _ => return Err(Arg::Long(&name).unexpected().into()),
        }
    }
    let engine = Engine::start(listen, settings).await?;
    serve(engine.address()).await
}

async fn run_list(mut parser: Parser) -> Result<(), Error> {
    let (mut listen, mut settings) = (any_port(), list::Settings::default());
    while let Some(name) = next_option(&mut parser)? {
        match name.as_str() {
            "lag-ms" => settings.lag_ms = parse_value(&mut parser)?,
            "listen" => listen = parse_value(&mut parser)?,
            _ => return Err(Arg::Long(&name).unexpected().into()),
        }
    }
    let list = List::start(listen, settings).await?;
    serve(list.address()).await
}

async fn run_log(mut parser: Parser) -> Result<(), Error> {
    let (mut listen, mut settings) = (any_port(), log::Settings::default());
    while let Some(name) = next_option(&mut parser)? {
        match name.as_str() {
            "listen" => listen = parse_value(&mut parser)?,
            "rate" => settings.rate = parse_value(&mut parser)?,
            "retention" => settings.retention = parse_value(&mut parser)?,
            _ => return Err(Arg::Long(&name).unexpected().into()),
        }
    }
    let log = Log::start(listen, settings).await?;
    serve(log.address()).await
}

async fn run_service(mut parser: Parser) -> Result<(), Error> {
    let (mut listen, mut settings) = (any_port(), service::Settings::default());
    while let Some(name) = next_option(&mut parser)? {
        match name.as_str() {
            "boot" => settings.boot = parse_value(&mut parser)?,
            "cold" => settings.cold = parse_value(&mut parser)?,
            "cold-limit" => settings.cold_limit = parse_value(&mut parser)?,
            "listen" => listen = parse_value(&mut parser)?,
            "restart-ms" => settings.restart_ms = parse_value(&mut parser)?,
            "warm-after" => settings.warm_after = parse_value(&mut parser)?,
            "work-ms" => settings.work_ms = parse_value(&mut parser)?,
            _ => return Err(Arg::Long(&name).unexpected().into()),
        }
    }
    let service = Service::start(listen, settings).await?;
    serve(service.address()).await
}

async fn run_store(mut parser: Parser) -> Result<(), Error> {
    let (mut listen, mut settings) = (any_port(), store::Settings::default());
    while let Some(name) = next_option(&mut parser)? {
        match name.as_str() {
            "burst" => settings.burst = parse_value(&mut parser)?,
            "listen" => listen = parse_value(&mut parser)?,
            "load-ms" => settings.load_ms = parse_value(&mut parser)?,
            "rate" => settings.rate = parse_value(&mut parser)?,
            _ => return Err(Arg::Long(&name).unexpected().into()),
        }
    }
    let store = Store::start(listen, settings).await?;
    serve(store.address()).await
}

/// A free port on loopback.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn help() -> Result<(), Error> {
    io::stdout().write_all(HELP.as_bytes())?;
    Ok(())
}

/// The name of the next option, `None` at the end of the arguments.
fn next_option(parser: &mut Parser) -> Result<Option<String>, Error> {
    match parser.next()? {
        Some(Arg::Long(name)) => Ok(Some(name.to_owned())),
        Some(other) => Err(other.unexpected().into()),
        None => Ok(None),
    }
}

/// The value of the current option.
fn parse_value<T>(parser: &mut Parser) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    Ok(parser.value()?.parse()?)
}

/// Prints the address, which the parent process needs to know if it passed port 0, and serves until the process is
/// killed.
async fn serve(address: SocketAddr) -> Result<(), Error> {
    let mut out = io::stdout();
    writeln!(out, "listening address={address}")?;
    out.flush()?;
    future::pending().await
}
