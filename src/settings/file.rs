use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::check::{key_at, line_at};
use super::{Error, Limits, Network, Queue, Settings};
use crate::event;

/// A settings file; its field names are the keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    domain: String,
    instance: String,
    #[serde(default)]
    limits: LimitsTable,
    listen: SocketAddr,
    #[serde(default)]
    log: event::Settings,
    network: NetworkTable,
    peer_key: String,
    policy: Option<String>,
    #[serde(default)]
    queue: QueueTable,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsTable {
    body_bytes: Option<usize>,
    deadline_max_ms: Option<u64>,
    deadline_ms: Option<u64>,
    memory_bytes: Option<usize>,
    requests: Option<usize>,
    tokens: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NetworkTable {
    controller_delay_ms: Option<u64>,
    controller_lease_ms: Option<u64>,
    heartbeat_ms: Option<u64>,
    lease_ms: Option<u64>,
    list: SocketAddr,
    list_interval_ms: Option<u64>,
    log: SocketAddr,
    margin_ms: Option<u64>,
    pause_ms: Option<u64>,
    reap_ms: Option<u64>,
    stall_ms: Option<u64>,
    store: Option<SocketAddr>,
    suspicion_ms: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct QueueTable {
    chunk_tokens: Option<u64>,
    chunking: Option<bool>,
    cold_limit: Option<u32>,
    decode_rate: Option<u64>,
    limit: Option<u32>,
    memory_tokens: Option<u64>,
    packing: Option<bool>,
    prefill_rate: Option<u64>,
    reserve: Option<bool>,
    slack: Option<bool>,
}

/// Prefixes a message with the key, unless it names the key.
fn describe(message: &str, key: Option<&str>) -> String {
    match key.map(|key| format!("`{key}`")) {
        Some(key) if !message.contains(&key) => format!("{key}: {message}"),
        Some(_) | None => message.into(),
    }
}

/// Parses the text of a settings file and fills in the defaults.
pub(super) fn parse(name: &str, text: &str) -> Result<Settings, Error> {
    let file: File = toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        let message = describe(error.message(), key_at(text, start));
        Error::Syntax(name.into(), line_at(text, start), message)
    })?;
    Ok(Settings {
        domain: file.domain,
        instance: file.instance,
        limits: limits(&file.limits),
        listen: file.listen,
        log: file.log,
        network: network(&file.network),
        peer_key: file.peer_key,
        policy: file.policy.unwrap_or_else(|| "affinity".into()),
        queue: queue(&file.queue),
    })
}

fn limits(table: &LimitsTable) -> Limits {
    let default = Limits::default();
    Limits {
        body_bytes: table.body_bytes.unwrap_or(default.body_bytes),
        default_deadline: millis(table.deadline_ms, default.default_deadline),
        max_deadline: millis(table.deadline_max_ms, default.max_deadline),
        memory_bytes: table.memory_bytes.unwrap_or(default.memory_bytes),
        requests: table.requests.unwrap_or(default.requests),
        max_tokens: table.tokens.unwrap_or(default.max_tokens),
    }
}

fn millis(value: Option<u64>, default: Duration) -> Duration {
    value.map_or(default, Duration::from_millis)
}

fn network(table: &NetworkTable) -> Network {
    let default = Network::default();
    Network {
        controller_delay: millis(table.controller_delay_ms, default.controller_delay),
        controller_lease: millis(table.controller_lease_ms, default.controller_lease),
        heartbeat: millis(table.heartbeat_ms, default.heartbeat),
        lease: millis(table.lease_ms, default.lease),
        list: table.list,
        list_interval: millis(table.list_interval_ms, default.list_interval),
        log: table.log,
        margin: millis(table.margin_ms, default.margin),
        pause: millis(table.pause_ms, default.pause),
        reap: millis(table.reap_ms, default.reap),
        stall: millis(table.stall_ms, default.stall),
        store: table.store,
        suspicion: millis(table.suspicion_ms, default.suspicion),
    }
}

fn queue(table: &QueueTable) -> Queue {
    let default = Queue::default();
    Queue {
        chunk_tokens: table.chunk_tokens.unwrap_or(default.chunk_tokens),
        chunking: table.chunking.unwrap_or(default.chunking),
        cold_limit: table.cold_limit.unwrap_or(default.cold_limit),
        decode_rate: table.decode_rate.unwrap_or(default.decode_rate),
        limit: table.limit.unwrap_or(default.limit),
        memory_tokens: table.memory_tokens.unwrap_or(default.memory_tokens),
        packing: table.packing.unwrap_or(default.packing),
        prefill_rate: table.prefill_rate.unwrap_or(default.prefill_rate),
        reserve: table.reserve.unwrap_or(default.reserve),
        slack: table.slack.unwrap_or(default.slack),
    }
}
