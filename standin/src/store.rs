//! Weight store: rate-limited reads of model weights.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, Peer};
use serde::Serialize;
use serde_json::json as value;
use smol::Timer;

use crate::bucket::Bucket;
use crate::clock::unix_ms;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::request::{not_found, refuse, success, Refusal, Request};

/// First reads that the statistics list.
const READ_LIMIT: usize = 10_000;

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Reads that may happen at once.
    pub burst: f64,
    /// Duration of one read in milliseconds.
    pub load_ms: u64,
    /// Reads per second; 0 means no limit.
    pub rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            burst: 1.0,
            load_ms: 0,
            rate: 0.0,
        }
    }
}

/// A running weight store; dropping it stops the server.
#[derive(Debug)]
pub struct Store {
    host: Host,
}

impl Store {
    /// Serves a weight store on `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (gate, outages) = Gate::new();
        let state = State {
            bucket: Bucket::new(settings.rate, settings.burst, Instant::now()),
            reads: Vec::new(),
            refused: 0,
        };
        let core = Arc::new(Core {
            gate,
            settings,
            state: Mutex::new(state),
        });
        let host = Host::start(address, core, outages).await?;
        Ok(Self { host })
    }

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

/// State that the request handlers share.
struct Core {
    gate: Gate,
    settings: Settings,
    state: Mutex<State>,
}

struct State {
    bucket: Bucket,
    reads: Vec<Read>,
    refused: u64,
}

/// An admitted read, as the statistics list it.
#[derive(Serialize)]
struct Read {
    at_ms: u64,
    model: String,
    version: String,
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
            (Method::Get, ["weights", model, version]) => {
                self.gate.wait_unfrozen().await;
                let response = self.read(model, version).await;
                self.gate.release(response, &peer, true).await
            }
            _ => not_found(&request).into(),
        }
    }
}

impl Core {
    /// Whether the rate limit admits a read, which is then recorded.
    fn admit(&self, model: &str, version: &str) -> bool {
        let mut state = self.lock();
        if !state.bucket.take(Instant::now()) {
            state.refused += 1;
            return false;
        }
        if state.reads.len() < READ_LIMIT {
            state.reads.push(Read {
                at_ms: unix_ms(),
                model: model.to_owned(),
                version: version.to_owned(),
            });
        }
        true
    }

    fn fault(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = Fault::read(request, &["rate"])?;
        if let Some(rate) = fault.rate {
            self.lock().bucket = Bucket::new(rate, self.settings.burst, Instant::now());
        }
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(0) {
            self.gate
                .start_outage_after_response(Duration::from_millis(ms));
        }
        Ok(success())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read(&self, model: &str, version: &str) -> Response {
        if !self.admit(model, version) {
            return refuse(429, "read rate limit").into();
        }
        Timer::after(Duration::from_millis(self.settings.load_ms)).await;
        json(200, &value!({ "model": model, "version": version }))
    }

    fn stats(&self) -> Response {
        let state = self.lock();
        json(
            200,
            &value!({ "reads": state.reads, "refused": state.refused }),
        )
    }
}
