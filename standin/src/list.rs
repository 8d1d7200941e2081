//! Instance list: versioned, and as late as its lag says.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, text, Peer};
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use smol::Timer;

use crate::ask::{done, refuse, unknown, Ask, Refusal};
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::signal::Signal;

/// Past versions that are kept for the lag.
const HISTORY_LIMIT: usize = 4_096;

/// Longest long poll.
const WAIT_LIMIT_MS: u64 = 60_000;

/// Settings of the instance list.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Age in milliseconds that a change must have before readers see it.
    pub lag_ms: u64,
}

/// What an instance is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// An instance of the system.
    Entry,
    /// A plain service.
    Service,
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It leaves and gets no new work.
    Leaving,
    /// It serves.
    Live,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Its name; `PUT` takes it from the path.
    #[serde(default)]
    pub id: String,
    /// Model of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// What it is.
    pub role: Role,
    /// Name of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it is to stay.
    pub state: State,
}

/// A running instance list; it ends when dropped.
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

struct Core {
    changed: Signal,
    gate: Gate,
    history: Mutex<History>,
}

struct History {
    lag: Duration,
    views: VecDeque<View>,
}

#[derive(Clone)]
struct View {
    at: Instant,
    instances: Arc<Vec<Instance>>,
    version: u64,
}

impl Handler for Core {
    async fn answer(self: Arc<Self>, request: Request, peer: Peer) -> Response {
        let ask = match Ask::read(request).await {
            Ok(ask) => ask,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        match (ask.method, ask.segments().as_slice()) {
            (Method::Get, ["stats"]) => self.stats(),
            (Method::Post, ["fault"]) => self.fault(&ask).unwrap_or_else(Response::from),
            (Method::Get, ["instances"]) => {
                self.gate.thaw().await;
                let response = self.read(&ask, &peer).await;
                let response = response.unwrap_or_else(Response::from);
                self.gate.leave(response, &peer, false).await
            }
            (Method::Put | Method::Delete, ["instances", id]) => {
                self.gate.thaw().await;
                let response = self.write(&ask, id).unwrap_or_else(Response::from);
                self.gate.leave(response, &peer, true).await
            }
            _ => unknown(&ask).into(),
        }
    }
}

impl Core {
    async fn await_change(&self, version: u64, end: Instant) {
        loop {
            let listener = self.changed.listen();
            let (view, due) = self.lock().visible(Instant::now());
            if view.version != version || Instant::now() >= end {
                return;
            }
            let wake = due.map_or(end, |due| due.min(end));
            future::or(listener.wait(), async {
                Timer::at(wake).await;
            })
            .await;
        }
    }

    fn fault(&self, ask: &Ask) -> Result<Response, Refusal> {
        let fault = Fault::read(ask, &["lag_ms"])?;
        if let Some(ms) = fault.lag_ms {
            self.lock().lag = Duration::from_millis(ms);
            self.changed.notify();
        }
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(0) {
            self.gate.cut_after_reply(Duration::from_millis(ms));
        }
        Ok(done())
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read(&self, ask: &Ask, peer: &Peer) -> Result<Response, Refusal> {
        let known = ask.number("version")?;
        let wait = ask.number("wait_ms")?.unwrap_or(0).min(WAIT_LIMIT_MS);
        if let Some(version) = known {
            let end = Instant::now() + Duration::from_millis(wait);
            let _ = peer.run_until_closed(self.await_change(version, end)).await;
        }
        let (view, _) = self.lock().visible(Instant::now());
        if known == Some(view.version) {
            return Ok(text(304, ""));
        }
        let (instances, version) = (&*view.instances, view.version);
        Ok(json(
            200,
            &value!({ "instances": instances, "version": version }),
        ))
    }

    fn stats(&self) -> Response {
        let waiting = self.changed.waiting();
        let history = self.lock();
        let newest = &history.views[history.views.len() - 1];
        let (instances, version) = (newest.instances.len(), newest.version);
        json(
            200,
            &value!({ "instances": instances, "version": version, "waiting": waiting }),
        )
    }

    fn write(&self, ask: &Ask, id: &str) -> Result<Response, Refusal> {
        let instance = match ask.method {
            Method::Put => Some(Instance {
                id: id.to_owned(),
                ..ask.parse()?
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
        let first = View {
            at: Instant::now(),
            instances: Arc::default(),
            version: 1,
        };
        Self {
            lag,
            views: VecDeque::from([first]),
        }
    }

    /// Sets or removes an instance and returns the version; a write that changes nothing makes no version.
    fn set(&mut self, id: &str, instance: Option<Instance>, now: Instant) -> u64 {
        let newest = &self.views[self.views.len() - 1];
        let mut instances = (*newest.instances).clone();
        let place = instances.binary_search_by(|entry| entry.id.as_str().cmp(id));
        match (place, instance) {
            (Ok(index), Some(instance)) => instances[index] = instance,
            (Ok(index), None) => drop(instances.remove(index)),
            (Err(index), Some(instance)) => instances.insert(index, instance),
            (Err(_), None) => {}
        }
        if instances == *newest.instances {
            return newest.version;
        }
        let version = newest.version + 1;
        self.views.push_back(View {
            at: now,
            instances: Arc::new(instances),
            version,
        });
        if self.views.len() > HISTORY_LIMIT {
            self.views.pop_front();
        }
        version
    }

    /// What readers see now, and when they will see the next change.
    fn visible(&self, now: Instant) -> (View, Option<Instant>) {
        let count = self
            .views
            .partition_point(|view| view.at + self.lag <= now)
            .max(1);
        let due = self.views.get(count).map(|view| view.at + self.lag);
        (self.views[count - 1].clone(), due)
    }
}
