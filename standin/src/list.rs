//! Instance list: versioned, with long polls and a lag after which readers see a change.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, text, Peer};
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use smol::Timer;

use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::request::{not_found, refuse, success, Refusal, Request};
use crate::signal::Signal;

/// Versions that are kept, so that readers can be shown a lagging one.
const HISTORY_LIMIT: usize = 4_096;

/// Longest long poll in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;

/// Settings of the instance list.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Time in milliseconds after which readers see a change.
    pub lag_ms: u64,
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// An instance that accepts callers' requests.
    Entry,
    /// A plain service.
    Service,
}

/// Whether a listed instance keeps serving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is about to be removed and gets no new requests.
    Leaving,
    /// It serves requests.
    Live,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Address of the HTTP server.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Name; `PUT` takes it from the path.
    #[serde(default)]
    pub id: String,
    /// Model of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Role of the instance.
    pub role: Role,
    /// Name of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// State of the instance.
    pub state: State,
}

/// A running instance list; dropping it stops the server.
#[derive(Debug)]
pub struct List {
    host: Host,
}

impl List {
    /// Serves an empty list on `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (gate, outages) = Gate::new();
        let core = Arc::new(Core {
            changed: Signal::default(),
            gate,
            history: Mutex::new(History::new(Duration::from_millis(settings.lag_ms))),
        });
        let host = Host::start(address, core, outages).await?;
        Ok(Self { host })
    }

    /// The address that the list listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

/// State that the request handlers share.
struct Core {
    changed: Signal,
    gate: Gate,
    history: Mutex<History>,
}

/// Newest versions of the list.
struct History {
    lag: Duration,
    /// In order of version; never empty.
    snapshots: VecDeque<Snapshot>,
}

/// One version of the list.
#[derive(Clone)]
struct Snapshot {
    at: Instant,
    instances: Arc<Vec<Instance>>,
    version: u64,
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, request: HttpRequest, peer: Peer) -> Response {
        let request = match Request::read(request).await {
            Ok(request) => request,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        match (request.method, request.segments().as_slice()) {
            (Method::Get, ["stats"]) => self.stats(),
            (Method::Post, ["fault"]) => self.fault(&request).unwrap_or_else(Response::from),
            (Method::Get, ["instances"]) => {
                self.gate.wait_unfrozen().await;
                let response = self.read(&request, &peer).await;
                let response = response.unwrap_or_else(Response::from);
                self.gate.release(response, &peer, false).await
            }
            (Method::Put | Method::Delete, ["instances", id]) => {
                self.gate.wait_unfrozen().await;
                let response = self.write(&request, id).unwrap_or_else(Response::from);
                self.gate.release(response, &peer, true).await
            }
            _ => not_found(&request).into(),
        }
    }
}

impl Core {
    /// Waits until the version that readers see is not `version`, at most until `end`.
    async fn wait_for_change(&self, version: u64, end: Instant) {
        loop {
            let listener = self.changed.listen();
            let (snapshot, due) = self.lock().visible(Instant::now());
            if snapshot.version != version || Instant::now() >= end {
                return;
            }
            let wake = due.map_or(end, |due| due.min(end));
            future::or(listener.wait(), async {
                Timer::at(wake).await;
            })
            .await;
        }
    }

    fn fault(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = Fault::read(request, &["lag_ms"])?;
        if let Some(ms) = fault.lag_ms {
            self.lock().lag = Duration::from_millis(ms);
            self.changed.notify();
        }
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(0) {
            self.gate
                .start_outage_after_response(Duration::from_millis(ms));
        }
        Ok(success())
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read(&self, request: &Request, peer: &Peer) -> Result<Response, Refusal> {
        let known = request.number("version")?;
        let wait = request.number("wait_ms")?.unwrap_or(0).min(WAIT_LIMIT_MS);
        if let Some(version) = known {
            let end = Instant::now() + Duration::from_millis(wait);
            let _ = peer
                .run_until_closed(self.wait_for_change(version, end))
                .await;
        }
        let (snapshot, _) = self.lock().visible(Instant::now());
        if known == Some(snapshot.version) {
            return Ok(text(304, ""));
        }
        let (instances, version) = (&*snapshot.instances, snapshot.version);
        Ok(json(
            200,
            &value!({ "instances": instances, "version": version }),
        ))
    }

    fn stats(&self) -> Response {
        let waiting = self.changed.waiting();
        let history = self.lock();
        let newest = &history.snapshots[history.snapshots.len() - 1];
        let (instances, version) = (newest.instances.len(), newest.version);
        json(
            200,
            &value!({ "instances": instances, "version": version, "waiting": waiting }),
        )
    }

    fn write(&self, request: &Request, id: &str) -> Result<Response, Refusal> {
        let instance = match request.method {
            Method::Put => Some(Instance {
                id: id.to_owned(),
                ..request.parse()?
            }),
            _ => None,
        };
        let version = self.lock().set(id, instance, Instant::now());
        self.changed.notify();
        Ok(json(200, &value!({ "version": version })))
    }
}

impl History {
    fn new(lag: Duration) -> Self {
        let first = Snapshot {
            at: Instant::now(),
            instances: Arc::default(),
            version: 1,
        };
        Self {
            lag,
            snapshots: VecDeque::from([first]),
        }
    }

    /// Sets or removes an instance and returns the newest version. A write that changes nothing makes no new version.
    fn set(&mut self, id: &str, instance: Option<Instance>, now: Instant) -> u64 {
        let newest = &self.snapshots[self.snapshots.len() - 1];
        let mut instances = (*newest.instances).clone();
        let position = instances.binary_search_by(|entry| entry.id.as_str().cmp(id));
        match (position, instance) {
            (Ok(index), Some(instance)) => instances[index] = instance,
            (Ok(index), None) => drop(instances.remove(index)),
            (Err(index), Some(instance)) => instances.insert(index, instance),
            (Err(_), None) => {}
        }
        if instances == *newest.instances {
            return newest.version;
        }
        let version = newest.version + 1;
        self.snapshots.push_back(Snapshot {
            at: now,
            instances: Arc::new(instances),
            version,
        });
        if self.snapshots.len() > HISTORY_LIMIT {
            self.snapshots.pop_front();
        }
        version
    }

    /// The snapshot that readers see at `now`, and when they will see the next one.
    fn visible(&self, now: Instant) -> (Snapshot, Option<Instant>) {
        let count = self
            .snapshots
            .partition_point(|snapshot| snapshot.at + self.lag <= now)
            .max(1);
        let due = self
            .snapshots
            .get(count)
            .map(|snapshot| snapshot.at + self.lag);
        (self.snapshots[count - 1].clone(), due)
    }
}
