//! Plain service: echoes calls and counts their executions.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, Peer};
use serde::Serialize;
use serde_json::{json as value, Value};
use smol::Timer;

use crate::clock::unix_ms;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::request::{not_found, refuse, success, Refusal, Request};
use crate::warmth::Warmth;

/// Newest requests that the statistics list.
const REQUEST_LIMIT: usize = 10_000;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First boot number; 0 takes the Unix time in milliseconds.
    pub boot: u64,
    /// Whether it starts cold.
    pub cold: bool,
    /// Most calls that may run at a time while it is cold; one more crashes it.
    pub cold_limit: usize,
    /// Time in milliseconds that a restart after a crash takes.
    pub restart_ms: u64,
    /// Number of completed calls after which it is warm.
    pub warm_after: u64,
    /// Duration of a call in milliseconds.
    pub work_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            boot: 0,
            cold: false,
            cold_limit: 4,
            restart_ms: 200,
            warm_after: 8,
            work_ms: 0,
        }
    }
}

/// A running plain service; dropping it stops the server.
#[derive(Debug)]
pub struct Service {
    host: Host,
}

impl Service {
    /// Serves on `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (gate, outages) = Gate::new();
        let state = State {
            calls: Vec::new(),
            requests: VecDeque::new(),
            running: 0,
            sequence: 0,
            warmth: Warmth::new(
                settings.boot,
                settings.cold,
                settings.cold_limit,
                settings.warm_after,
            ),
        };
        let core = Arc::new(Core {
            gate,
            settings,
            state: Mutex::new(state),
        });
        let host = Host::start(address, core, outages).await?;
        Ok(Self { host })
    }

    /// The address that the service listens on.
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
    /// Sorted by key and name.
    calls: Vec<Call>,
    requests: VecDeque<Received>,
    running: usize,
    sequence: u64,
    warmth: Warmth,
}

/// Number of executions of one call with one idempotency key.
#[derive(Serialize)]
struct Call {
    count: u64,
    key: String,
    name: String,
}

/// A received request, as the statistics list it.
#[derive(Serialize)]
struct Received {
    at_ms: u64,
    key: Option<String>,
    name: String,
}

/// A running call. Dropping it, which closing the connection does too, ends the call.
struct Running {
    boot: u64,
    core: Arc<Core>,
    sequence: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.core.lock();
        if state.warmth.boot == self.boot {
            state.running -= 1;
        }
    }
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, request: HttpRequest, peer: Peer) -> Response {
        let request = match Request::read(request).await {
            Ok(request) => request,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        let mut response = match (request.method, request.segments().as_slice()) {
            (Method::Get, ["stats"]) => self.stats(),
            (Method::Post, ["fault"]) => self.fault(&request).unwrap_or_else(Response::from),
            (Method::Post, ["call", name]) => {
                let boot = self.lock().warmth.boot;
                self.gate.wait_unfrozen().await;
                let response = self.call(&request, name, boot, &peer).await;
                let response = response.unwrap_or_else(Response::from);
                self.gate.release(response, &peer, true).await
            }
            _ => not_found(&request).into(),
        };
        self.lock().warmth.add_headers(&mut response);
        response
    }
}

impl Core {
    async fn call(
        self: &Arc<Self>,
        request: &Request,
        name: &str,
        boot: u64,
        peer: &Peer,
    ) -> Result<Response, Refusal> {
        let body: Value = request.parse()?;
        let Some(running) = self.execute(request.key.as_deref(), name, boot) else {
            // The crash closes this connection.
            peer.closed().await;
            return Err(refuse(503, "crashed"));
        };
        Timer::after(Duration::from_millis(self.settings.work_ms)).await;
        let mut state = self.lock();
        if state.warmth.boot == running.boot {
            state.warmth.count_completion();
        }
        drop(state);
        let sequence = running.sequence;
        Ok(json(
            200,
            &value!({ "body": body, "name": name, "sequence": sequence }),
        ))
    }

    fn crash(&self, state: &mut State) {
        state.warmth.restart();
        state.running = 0;
    }

    /// Executes a call that was received in boot `boot`. Returns `None` if the service has crashed since or crashes
    /// under the load of this call.
    fn execute(self: &Arc<Self>, key: Option<&str>, name: &str, boot: u64) -> Option<Running> {
        let mut state = self.lock();
        if state.warmth.boot != boot {
            return None;
        }
        state.record_request(key, name);
        state.running += 1;
        let running = state.running;
        if state.warmth.check_load(running) {
            self.crash(&mut state);
            self.gate
                .start_outage(Duration::from_millis(self.settings.restart_ms));
            return None;
        }
        state.count_execution(key.unwrap_or_default(), name);
        state.sequence += 1;
        Some(Running {
            boot: state.warmth.boot,
            core: Arc::clone(self),
            sequence: state.sequence,
        })
    }

    fn fault(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = Fault::read(request, &["cold"])?;
        let mut state = self.lock();
        match fault.cold {
            Some(true) => state.warmth.mark_cold(),
            Some(false) => state.warmth.cold = false,
            None => {}
        }
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(self.settings.restart_ms) {
            self.crash(&mut state);
            self.gate
                .start_outage_after_response(Duration::from_millis(ms));
        }
        Ok(success())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> Response {
        let state = self.lock();
        json(
            200,
            &value!({
                "boot": state.warmth.boot,
                "calls": state.calls,
                "cold": state.warmth.cold,
                "crash_list": state.warmth.crashes,
                "crashes": state.warmth.crashes.len(),
                "peak_cold": state.warmth.peak_cold,
                "requests": state.requests,
                "running": state.running,
            }),
        )
    }
}

impl State {
    fn count_execution(&mut self, key: &str, name: &str) {
        let position = self
            .calls
            .binary_search_by(|call| (call.key.as_str(), call.name.as_str()).cmp(&(key, name)));
        match position {
            Ok(index) => self.calls[index].count += 1,
            Err(index) => self.calls.insert(
                index,
                Call {
                    count: 1,
                    key: key.to_owned(),
                    name: name.to_owned(),
                },
            ),
        }
    }

    fn record_request(&mut self, key: Option<&str>, name: &str) {
        if self.requests.len() == REQUEST_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back(Received {
            at_ms: unix_ms(),
            key: key.map(str::to_owned),
            name: name.to_owned(),
        });
    }
}
