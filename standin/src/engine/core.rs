//! Request handlers of an engine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, pipe, Peer};
use serde_json::json as value;

use crate::engine::admit::Admission;
use crate::engine::chain::Chain;
use crate::engine::state::State;
use crate::engine::stream::Completion;
use crate::engine::Settings;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::Handler;
use crate::request::{not_found, refuse, success, Refusal, Request};
use crate::signal::Signal;

/// Longest prompt in bytes that is hashed on the executor thread.
const INLINE_HASH_LIMIT: usize = 64 << 10;

/// Fault switches that only an engine has.
const SWITCHES: [&str; 4] = ["cold", "cross", "event_gap", "late_reports_ms"];

/// State of an engine that its request handlers and tasks share.
pub(super) struct Core {
    /// Notified when a request has been admitted.
    pub(super) arrivals: Signal,
    pub(super) gate: Gate,
    pub(super) settings: Settings,
    pub(super) state: Mutex<State>,
}

impl Handler for Core {
    async fn handle(self: Arc<Self>, request: HttpRequest, peer: Peer) -> Response {
        let request = match Request::read(request).await {
            Ok(request) => request,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        let response = match (request.method, request.segments().as_slice()) {
            (Method::Get, ["stats"]) => Ok(self.stats()),
            (Method::Post, ["fault"]) => self.fault(&request),
            _ => Ok(self.serve(&request, &peer).await),
        };
        let mut response = response.unwrap_or_else(Response::from);
        self.lock().warmth.add_headers(&mut response);
        response
    }
}

impl Core {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn complete(
        self: &Arc<Self>,
        request: &Request,
        boot: u64,
        peer: &Peer,
    ) -> Result<Response, Refusal> {
        let completion: Completion = request.parse()?;
        check_id(&completion.attempt)?;
        if let Some(handle) = &completion.handle {
            check_id(handle)?;
        }
        let (attempt, from) = (completion.attempt.clone(), completion.resume);
        match self.open(completion, boot).await? {
            Admission::Crashed => {
                peer.closed().await;
                Err(refuse(503, "crashed"))
            }
            Admission::Accepted => self.stream(&attempt, from, peer),
        }
    }

    fn fault(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = Fault::read(request, &SWITCHES)?;
        let mut state = self.lock();
        match fault.cold {
            Some(true) => state.warmth.mark_cold(),
            Some(false) => state.warmth.cold = false,
            None => {}
        }
        state.cross = fault.cross.unwrap_or(state.cross);
        state.journal.gap = fault.event_gap.unwrap_or(state.journal.gap);
        if let Some(ms) = fault.late_reports_ms {
            state.reports.extra_lag = Duration::from_millis(ms);
        }
        state.report_load();
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(self.settings.restart_ms) {
            state.crash();
            self.gate
                .start_outage_after_response(Duration::from_millis(ms));
        }
        Ok(success())
    }

    /// Opens a stream for a request that was received in boot `boot`.
    async fn open(&self, completion: Completion, boot: u64) -> Result<Admission, Refusal> {
        let base = self
            .lock()
            .context_hash(&completion.context)
            .unwrap_or_default();
        let (completion, chain) = hash(completion, base).await;
        let mut state = self.lock();
        if state.warmth.boot != boot {
            return Ok(Admission::Crashed);
        }
        let admission = state.open(completion, chain)?;
        if matches!(admission, Admission::Crashed) {
            self.gate
                .start_outage(Duration::from_millis(self.settings.restart_ms));
        }
        self.arrivals.notify();
        Ok(admission)
    }

    async fn serve(self: &Arc<Self>, request: &Request, peer: &Peer) -> Response {
        let boot = self.lock().warmth.boot;
        self.gate.wait_unfrozen().await;
        let response = match (request.method, request.segments().as_slice()) {
            (Method::Post, ["v1", "completions"]) => self.complete(request, boot, peer).await,
            (Method::Get, ["v1", "streams", attempt]) => request
                .number("from")
                .and_then(|from| self.stream(attempt, from.unwrap_or(0), peer)),
            (Method::Delete, ["v1", "streams", attempt]) => self.cancel(attempt),
            (Method::Get, ["v1", "streams"]) => Ok(self.streams()),
            (Method::Post, ["v1", "kv", "import"]) => self.import(request, boot),
            (Method::Post, ["v1", "kv", handle, "export"]) => self.export(handle),
            (Method::Delete, ["v1", "kv", handle]) => self.release(handle),
            (Method::Get, ["v1", "events"]) => self.events(request),
            (Method::Get, ["v1", "load"]) => Ok(self.load()),
            (Method::Post, ["v1", "orders"]) => self.order(request).await,
            (Method::Get, ["v1", "orders"]) => Ok(json(200, &self.lock().orders.loaded)),
            _ => Err(not_found(request)),
        };
        let response = response.unwrap_or_else(Response::from);
        let effect = matches!(request.method, Method::Post | Method::Delete);
        self.gate.release(response, peer, effect).await
    }

    fn cancel(&self, attempt: &str) -> Result<Response, Refusal> {
        if self.lock().cancel(attempt) {
            Ok(success())
        } else {
            Err(refuse(404, format!("attempt `{attempt}` is not running")))
        }
    }

    fn stream(
        self: &Arc<Self>,
        attempt: &str,
        from: u64,
        peer: &Peer,
    ) -> Result<Response, Refusal> {
        let Some(reader) = self.attach(attempt) else {
            return Err(refuse(404, format!("no attempt `{attempt}`")));
        };
        let (writer, body) = pipe();
        smol::spawn(Arc::clone(self).write_stream(reader, from, writer, peer.clone())).detach();
        let mut response = success();
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        Ok(response)
    }

    fn streams(&self) -> Response {
        let state = self.lock();
        let streams: Vec<_> = state
            .streams
            .iter()
            .map(|stream| value!({ "attempt": stream.attempt, "tokens": stream.reserved }))
            .collect();
        let handles: Vec<_> = state
            .handles
            .iter()
            .map(|handle| value!({ "handle": handle.name, "remote": handle.remote, "tokens": handle.tokens }))
            .collect();
        let (boot, cold) = (state.warmth.boot, state.warmth.cold);
        json(
            200,
            &value!({ "boot": boot, "cold": cold, "handles": handles, "streams": streams }),
        )
    }

    fn load(&self) -> Response {
        let state = self.lock();
        json(200, &state.reports.read(self.lag(&state), Instant::now()))
    }

    fn events(&self, request: &Request) -> Result<Response, Refusal> {
        let after = request.number("after")?.unwrap_or(0);
        let state = self.lock();
        let events = state
            .journal
            .events_after(after, self.lag(&state), Instant::now());
        Ok(json(
            200,
            &value!({ "boot": state.warmth.boot, "events": events }),
        ))
    }

    /// Lag of load reports and cache events.
    fn lag(&self, state: &State) -> Duration {
        Duration::from_millis(self.settings.lag_ms) + state.reports.extra_lag
    }

    fn stats(&self) -> Response {
        let state = self.lock();
        json(
            200,
            &value!({
                "boot": state.warmth.boot,
                "cancelled": state.cancelled,
                "cold": state.warmth.cold,
                "completed": state.completed,
                "crash_list": state.warmth.crashes,
                "crashes": state.warmth.crashes.len(),
                "memory": state.memory(),
                "orders": state.orders.accepted,
                "orders_rejected": state.orders.rejected,
                "peak_cold": state.warmth.peak_cold,
                "peak_memory": state.peak_memory,
                "refused": state.refused,
                "requests": state.requests,
                "running": state.streams.len(),
                "waiting": state.waiting(),
            }),
        )
    }
}

/// Checks the name of an attempt or handle, which must be 16 hexadecimal digits.
pub(super) fn check_id(id: &str) -> Result<(), Refusal> {
    if id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(refuse(400, format!("`{id}` is not 16 hexadecimal digits")))
}

/// Hashes a prompt; a long one on a blocking thread, since it takes milliseconds and would delay other streams.
async fn hash(completion: Completion, base: u64) -> (Completion, Chain) {
    let is_long = completion.prompt.len() > INLINE_HASH_LIMIT;
    let work = move || {
        let mut chain = Chain::new(base);
        chain.extend(completion.prompt.as_bytes());
        (completion, chain)
    };
    if is_long {
        return smol::unblock(work).await;
    }
    work()
}
