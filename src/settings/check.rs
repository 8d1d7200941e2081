use std::time::Duration;

use quick_error::quick_error;

use super::Settings;

/// Minimum length of the peer key in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Maximum length of the name of an instance or domain in bytes.
const MAX_NAME_BYTES: usize = 64;

const POLICIES: [&str; 3] = ["affinity", "least-loaded", "round-robin"];

quick_error! {
    /// Why a settings file is not accepted.
    #[derive(Debug)]
    pub enum Error {
        /// A value is outside its range or conflicts with another value.
        Range(file: String, line: usize, key: &'static str, reason: String) {
            display("`{file}` line {line}: `{key}` {reason}")
        }
        /// The file cannot be read.
        Read(file: String, source: std::io::Error) {
            display("cannot read `{file}`: {source}")
        }
        /// The file is not valid TOML, or has unexpected keys or types.
        Syntax(file: String, line: usize, message: String) {
            display("`{file}` line {line}: {message}")
        }
    }
}

/// Creates errors with the line on which a key is set.
struct Checker<'a> {
    file: &'a str,
    text: &'a str,
}

impl Checker<'_> {
    fn ensure(
        &self,
        valid: bool,
        key: &'static str,
        reason: impl Into<String>,
    ) -> Result<(), Error> {
        if valid {
            return Ok(());
        }
        let line = line_of(self.text, key);
        Err(Error::Range(self.file.into(), line, key, reason.into()))
    }

    fn millis(&self, key: &'static str, value: Duration, min: u64, max: u64) -> Result<(), Error> {
        self.range(key, value.as_millis() as u64, min, max)
    }

    fn name(&self, key: &'static str, value: &str) -> Result<(), Error> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        let valid =
            !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.chars().all(allowed);
        self.ensure(
            valid,
            key,
            format!("must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"),
        )
    }

    fn range(&self, key: &'static str, value: u64, min: u64, max: u64) -> Result<(), Error> {
        let reason = format!("is {value}, must be {min} to {max}");
        self.ensure((min..=max).contains(&value), key, reason)
    }
}

/// Checks the values of `settings`, which were parsed from `text`.
pub(super) fn check(file: &str, text: &str, settings: &Settings) -> Result<(), Error> {
    let checker = Checker { file, text };
    identity(&checker, settings)?;
    limits(&checker, settings)?;
    network(&checker, settings)?;
    queue(&checker, settings)
}

fn identity(checker: &Checker<'_>, settings: &Settings) -> Result<(), Error> {
    checker.name("domain", &settings.domain)?;
    checker.name("instance", &settings.instance)?;
    checker.ensure(
        settings.peer_key.len() >= MIN_PEER_KEY_BYTES,
        "peer_key",
        format!("must have at least {MIN_PEER_KEY_BYTES} bytes"),
    )?;
    checker.ensure(
        is_header(&settings.peer_key),
        "peer_key",
        "must consist of visible ASCII characters, with spaces only between them",
    )?;
    checker.ensure(
        POLICIES.contains(&settings.policy.as_str()),
        "policy",
        format!("must be one of `{}`", POLICIES.join("`, `")),
    )
}

fn limits(checker: &Checker<'_>, settings: &Settings) -> Result<(), Error> {
    let limits = &settings.limits;
    checker.range("body_bytes", limits.body_bytes as u64, 1024, 64 << 20)?;
    checker.millis("deadline_ms", limits.default_deadline, 1, 3_600_000)?;
    checker.millis("deadline_max_ms", limits.max_deadline, 1, 3_600_000)?;
    checker.ensure(
        limits.default_deadline <= limits.max_deadline,
        "deadline_ms",
        "must not exceed `deadline_max_ms`",
    )?;
    checker.range("memory_bytes", limits.memory_bytes as u64, 1024, 64 << 30)?;
    checker.ensure(
        limits.body_bytes <= limits.memory_bytes,
        "memory_bytes",
        "must be at least `body_bytes`",
    )?;
    checker.range("requests", limits.requests as u64, 1, 100_000)?;
    checker.range("tokens", limits.max_tokens, 1, 1_000_000)
}

fn network(checker: &Checker<'_>, settings: &Settings) -> Result<(), Error> {
    let network = &settings.network;
    checker.millis("controller_delay_ms", network.controller_delay, 100, 60_000)?;
    checker.millis(
        "controller_lease_ms",
        network.controller_lease,
        500,
        600_000,
    )?;
    checker.millis("heartbeat_ms", network.heartbeat, 10, 10_000)?;
    checker.millis("lease_ms", network.lease, 100, 60_000)?;
    checker.millis("list_interval_ms", network.list_interval, 10, 60_000)?;
    checker.millis("margin_ms", network.margin, 10, 30_000)?;
    checker.millis("pause_ms", network.pause, 50, 30_000)?;
    checker.millis("reap_ms", network.reap, 50, 60_000)?;
    checker.millis("stall_ms", network.stall, 100, 600_000)?;
    checker.millis("suspicion_ms", network.suspicion, 20, 60_000)?;
    checker.ensure(
        network.heartbeat * 2 <= network.suspicion,
        "suspicion_ms",
        "must be at least twice `heartbeat_ms`, or a single lost heartbeat makes a peer suspect",
    )?;
    checker.ensure(
        network.suspicion + network.margin < network.lease,
        "lease_ms",
        "must exceed `suspicion_ms` + `margin_ms`, or a dead peer stops the whole domain",
    )?;
    checker.ensure(
        network.pause < network.lease,
        "pause_ms",
        "must be less than `lease_ms`",
    )
}

fn queue(checker: &Checker<'_>, settings: &Settings) -> Result<(), Error> {
    let queue = &settings.queue;
    checker.range("chunk_tokens", queue.chunk_tokens, 256, 1_000_000)?;
    checker.range("cold_limit", queue.cold_limit.into(), 1, 1024)?;
    checker.range("decode_rate", queue.decode_rate, 1, 1_000_000)?;
    checker.range("limit", queue.limit.into(), 1, 4096)?;
    checker.ensure(
        queue.cold_limit <= queue.limit,
        "cold_limit",
        "must not exceed `limit`",
    )?;
    checker.range("memory_tokens", queue.memory_tokens, 1024, 100_000_000)?;
    checker.range("prefill_rate", queue.prefill_rate, 1, 100_000_000)
}

/// Whether an HTTP header transmits `key` unchanged.
fn is_header(key: &str) -> bool {
    key.trim() == key && key.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}

/// The key that is set on the line at byte `offset`.
pub(super) fn key_at(text: &str, offset: usize) -> Option<&str> {
    let line = text.lines().nth(line_at(text, offset) - 1)?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim()).filter(|key| !key.is_empty())
}

/// The line, from 1, at byte `offset`.
pub(super) fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|&&byte| byte == b'\n')
        .count()
        + 1
}

/// The line, from 1, on which `key` is set; 1 if it is not set.
fn line_of(text: &str, key: &str) -> usize {
    let sets = |line: &str| {
        line.trim_start()
            .strip_prefix(key)
            .is_some_and(|rest| rest.trim_start().starts_with('='))
    };
    text.lines()
        .position(sets)
        .map_or(1, |position| position + 1)
}
