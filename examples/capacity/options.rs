//! Command line.

use std::path::PathBuf;
use std::time::Duration;

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Configuration changes per second.
    pub(crate) changes: f64,
    /// Service calls per second with idempotency keys of the caller, over all instances.
    pub(crate) claims: f64,
    /// Path of the daemon to measure.
    pub(crate) daemon: PathBuf,
    /// Engines in the domain.
    pub(crate) engines: usize,
    /// Only measures folding the records of the workspaces, in this process.
    pub(crate) fold: bool,
    /// Heartbeat interval in milliseconds.
    pub(crate) heartbeat_ms: u64,
    /// Interval of reads of the instance list in milliseconds.
    pub(crate) list_ms: u64,
    /// Appends a record that orders a model for each engine, so that a controller is elected.
    pub(crate) orders: bool,
    /// Length of each prompt in tokens.
    pub(crate) prompt: usize,
    /// Interval in milliseconds at which the streams and handles of a target are read.
    pub(crate) reap_ms: u64,
    /// Completion requests per second, to each instance.
    pub(crate) requests: f64,
    /// Engines in other domains that are listed but not run.
    pub(crate) rows: usize,
    /// Instances in the domain.
    pub(crate) nodes: usize,
    /// Starts one more instance and kills it at the start of the measured window.
    pub(crate) victim: bool,
    /// New versions of the instance list per second.
    pub(crate) versions: f64,
    /// Duration of the measured window.
    pub(crate) window: Duration,
    /// Counts the bytes between the daemons and the stand-ins by proxies, independently of the daemons' metrics.
    pub(crate) tap: bool,
    /// Tokens generated for each request.
    pub(crate) tokens: u64,
    /// Number of workspaces, each of which has a record.
    pub(crate) workspaces: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            changes: 0.0,
            claims: 0.0,
            daemon: "target/release/jujubehookd".into(),
            engines: 8,
            fold: false,
            heartbeat_ms: 500,
            list_ms: 1000,
            nodes: 4,
            orders: false,
            prompt: 1000,
            reap_ms: 2000,
            requests: 0.0,
            rows: 0,
            tap: false,
            tokens: 16,
            versions: 0.0,
            victim: false,
            window: Duration::from_secs(20),
            workspaces: 10,
        }
    }
}

impl Options {
    /// Parses the command line.
    pub(crate) fn parse() -> Result<Self, lexopt::Error> {
        use lexopt::prelude::*;

        let mut options = Self::default();
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("changes") => options.changes = parser.value()?.parse()?,
                Long("claims") => options.claims = parser.value()?.parse()?,
                Long("daemon") => options.daemon = parser.value()?.into(),
                Long("engines") => options.engines = parser.value()?.parse()?,
                Long("fold") => options.fold = true,
                Long("heartbeat") => options.heartbeat_ms = parser.value()?.parse()?,
                Long("list") => options.list_ms = parser.value()?.parse()?,
                Long("nodes") => options.nodes = parser.value()?.parse()?,
                Long("orders") => options.orders = true,
                Long("prompt") => options.prompt = parser.value()?.parse()?,
                Long("reap") => options.reap_ms = parser.value()?.parse()?,
                Long("requests") => options.requests = parser.value()?.parse()?,
                Long("rows") => options.rows = parser.value()?.parse()?,
                Long("seconds") => options.window = Duration::from_secs(parser.value()?.parse()?),
                Long("tap") => options.tap = true,
                Long("tokens") => options.tokens = parser.value()?.parse()?,
                Long("victim") => options.victim = true,
                Long("versions") => options.versions = parser.value()?.parse()?,
                Long("workspaces") => options.workspaces = parser.value()?.parse()?,
                _ => return Err(argument.unexpected()),
            }
        }
        Ok(options)
    }
}
