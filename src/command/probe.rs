use std::net::SocketAddr;
use std::time::Duration;

use jujubehook_http::http_types::Method;
use jujubehook_http::{with_timeout, Client, Reuse};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::remote::{Listing, Member, Role, State};

/// Maximum size of a status response in bytes.
const MAX_BYTES: usize = 4 << 20;

/// Timeout of a status request.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Status that an instance reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Status {
    #[serde(default)]
    pub(super) alarms: Vec<Value>,
    pub(super) domain: String,
    #[serde(default)]
    pub(super) in_service: Option<bool>,
    #[serde(default)]
    pub(super) incarnation: Value,
    pub(super) instance: String,
    #[serde(default)]
    pub(super) leaving: bool,
    pub(super) offset: u64,
    /// Members that this build does not know; `--json` prints them.
    #[serde(flatten)]
    pub(super) other: Map<String, Value>,
    #[serde(default)]
    pub(super) peers: Vec<Peer>,
    #[serde(default)]
    pub(super) ready: bool,
    #[serde(default)]
    pub(super) targets: Vec<Target>,
}

/// State of a peer as an instance reports it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Peer {
    #[serde(default)]
    pub(super) age_ms: Option<u64>,
    pub(super) instance: String,
}

/// State of a target as an instance reports it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct Target {
    pub(super) domain: Option<String>,
    pub(super) free_tokens: Option<u64>,
    pub(super) limit: Option<u64>,
    pub(super) owner: Option<String>,
    pub(super) queued: Option<u64>,
    pub(super) running: Option<u64>,
    pub(super) state: Option<String>,
    pub(super) target: Option<String>,
}

/// The entry instances of a listing; with `live_only`, only those that are live.
pub(super) fn entries(listing: &Listing, live_only: bool) -> Vec<Member> {
    let selected = |member: &&Member| {
        member.role == Role::Instance && (!live_only || member.state == State::Live)
    };
    listing.instances.iter().filter(selected).cloned().collect()
}

/// Requests the status of all members concurrently; the results are in the order of the members.
pub(super) async fn statuses(members: &[Member], key: &str) -> Vec<Result<Status, String>> {
    let spawn = |member: &Member| smol::spawn(status(member.clone(), key.to_owned()));
    let tasks: Vec<_> = members.iter().map(spawn).collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

async fn status(member: Member, key: String) -> Result<Status, String> {
    let (status, bytes) = with_timeout(TIMEOUT, fetch(member.address, &key))
        .await
        .map_err(|error| error.to_string())?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let status: Status =
        serde_json::from_slice(&bytes).map_err(|error| format!("bad answer: {error}"))?;
    if status.instance != member.id {
        return Err(format!("`{}` answers at its address", status.instance));
    }
    Ok(status)
}

async fn fetch(address: SocketAddr, key: &str) -> Result<(u16, Vec<u8>), jujubehook_http::Error> {
    let mut request = Client::request(Method::Get, address, "/peer/status")?;
    request.insert_header("x-peer-key", key);
    let client = Client::default();
    let (response, bytes) = client
        .fetch(address, request, Reuse::Never, MAX_BYTES)
        .await?;
    Ok((u16::from(response.status()), bytes))
}
