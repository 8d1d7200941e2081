//! Plain service: echoes calls and counts what it executed.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, Peer};
use serde::Serialize;
use serde_json::{json as value, Value};
use smol::Timer;

use crate::ask::{done, refuse, unknown, Ask, Refusal};
use crate::clock::unix_ms;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::warmth::Warmth;

/// Newest calls that the statistics list.
const CALL_LIMIT: usize = 10_000;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First boot number; 0 takes the wall time.
    pub boot: u64,
    /// Whether it starts cold.
    pub cold: bool,
    /// Calls that run at a time without a crash while it is cold.
    pub cold_limit: usize,
    /// Time in milliseconds from a crash to the return.
    pub restart_ms: u64,
    /// Completed calls after which it is warm.
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

/// A running plain service; it ends when dropped.
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

struct Core {
    gate: Gate,
    settings: Settings,
    state: Mutex<State>,
}

struct State {
    calls: Vec<Call>,
    requests: VecDeque<Seen>,
    running: usize,
    sequence: u64,
    warmth: Warmth,
}

/// Executions of one call with one key.
#[derive(Serialize)]
struct Call {
    count: u64,
    key: String,
    name: String,
}

#[derive(Serialize)]
struct Seen {
    at_ms: u64,
    key: Option<String>,
    name: String,
}

/// A running call; it stops counting as one when dropped, which a cut connection does too.
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
    async fn answer(self: Arc<Self>, request: Request, peer: Peer) -> Response {
        let ask = match Ask::read(request).await {
            Ok(ask) => ask,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        let mut response = match (ask.method, ask.segments().as_slice()) {
            (Method::Get, ["stats"]) => self.stats(),
            (Method::Post, ["fault"]) => self.fault(&ask).unwrap_or_else(Response::from),
            (Method::Post, ["call", name]) => {
                let boot = self.lock().warmth.boot;
                self.gate.thaw().await;
                let response = self.call(&ask, name, boot, &peer).await;
                let response = response.unwrap_or_else(Response::from);
                self.gate.leave(response, &peer, true).await
            }
            _ => unknown(&ask).into(),
        };
        self.lock().warmth.describe(&mut response);
        response
    }
}

impl Core {
    async fn call(
        self: &Arc<Self>,
        ask: &Ask,
        name: &str,
        boot: u64,
        peer: &Peer,
    ) -> Result<Response, Refusal> {
        let body: Value = ask.parse()?;
        let Some(running) = self.execute(ask.key.as_deref(), name, boot) else {
            // The crash cuts this connection.
            peer.closed().await;
            return Err(refuse(503, "crashed"));
        };
        Timer::after(Duration::from_millis(self.settings.work_ms)).await;
        let mut state = self.lock();
        if state.warmth.boot == running.boot {
            state.warmth.complete();
        }
        drop(state);
        let sequence = running.sequence;
        Ok(json(
            200,
            &value!({ "body": body, "name": name, "sequence": sequence }),
        ))
    }

    fn crash(&self, state: &mut State) {
        state.warmth.boot();
        state.running = 0;
    }

    /// Executes a call that came in boot `boot`; `None` if the service has crashed since or crashes under it.
    fn execute(self: &Arc<Self>, key: Option<&str>, name: &str, boot: u64) -> Option<Running> {
        let mut state = self.lock();
        if state.warmth.boot != boot {
            return None;
        }
        state.see(key, name);
        state.running += 1;
        let running = state.running;
        if state.warmth.load(running) {
            self.crash(&mut state);
            self.gate
                .cut(Duration::from_millis(self.settings.restart_ms));
            return None;
        }
        state.count(key.unwrap_or_default(), name);
        state.sequence += 1;
        Some(Running {
            boot: state.warmth.boot,
            core: Arc::clone(self),
            sequence: state.sequence,
        })
    }

    fn fault(&self, ask: &Ask) -> Result<Response, Refusal> {
        let fault = Fault::read(ask, &["cold"])?;
        let mut state = self.lock();
        match fault.cold {
            Some(true) => state.warmth.mark_cold(),
            Some(false) => state.warmth.cold = false,
            None => {}
        }
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(self.settings.restart_ms) {
            self.crash(&mut state);
            self.gate.cut_after_reply(Duration::from_millis(ms));
        }
        Ok(done())
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
    fn count(&mut self, key: &str, name: &str) {
        let place = self
            .calls
            .binary_search_by(|call| (call.key.as_str(), call.name.as_str()).cmp(&(key, name)));
        match place {
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

    fn see(&mut self, key: Option<&str>, name: &str) {
        if self.requests.len() == CALL_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back(Seen {
            at_ms: unix_ms(),
            key: key.map(str::to_owned),
            name: name.to_owned(),
        });
    }
}
