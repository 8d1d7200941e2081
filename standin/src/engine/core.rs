//! Requests to an engine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, pipe, Peer};
use serde_json::json as value;

use crate::ask::{done, refuse, unknown, Ask, Refusal};
use crate::engine::admit::Opened;
use crate::engine::chain::Chain;
use crate::engine::state::State;
use crate::engine::stream::Completion;
use crate::engine::Settings;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::Handler;
use crate::signal::Signal;

/// Longest prompt in bytes that is hashed on the executor thread.
const INLINE_BYTES: usize = 64 << 10;

/// Switches that only an engine has.
const SWITCHES: [&str; 4] = ["cold", "cross", "event_gap", "late_reports_ms"];

/// An engine without its connections.
pub(super) struct Core {
    pub(super) arrivals: Signal,
    pub(super) gate: Gate,
    pub(super) settings: Settings,
    pub(super) state: Mutex<State>,
}

impl Handler for Core {
    async fn answer(self: Arc<Self>, request: Request, peer: Peer) -> Response {
        let ask = match Ask::read(request).await {
            Ok(ask) => ask,
            Err(error) => return refuse(400, error.to_string()).into(),
        };
        let response = match (ask.method, ask.segments().as_slice()) {
            (Method::Get, ["stats"]) => Ok(self.stats()),
            (Method::Post, ["fault"]) => self.fault(&ask),
            _ => Ok(self.serve(&ask, &peer).await),
        };
        let mut response = response.unwrap_or_else(Response::from);
        self.lock().warmth.describe(&mut response);
        response
    }
}

impl Core {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn complete(
        self: &Arc<Self>,
        ask: &Ask,
        boot: u64,
        peer: &Peer,
    ) -> Result<Response, Refusal> {
        let completion: Completion = ask.parse()?;
        check_id(&completion.attempt)?;
        if let Some(handle) = &completion.handle {
            check_id(handle)?;
        }
        let (attempt, from) = (completion.attempt.clone(), completion.resume);
        match self.open(completion, boot).await? {
            Opened::Crashed => {
                peer.closed().await;
                Err(refuse(503, "crashed"))
            }
            Opened::Running => self.stream(&attempt, from, peer),
        }
    }

    fn fault(&self, ask: &Ask) -> Result<Response, Refusal> {
        let fault = Fault::read(ask, &SWITCHES)?;
        let mut state = self.lock();
        match fault.cold {
            Some(true) => state.warmth.mark_cold(),
            Some(false) => state.warmth.cold = false,
            None => {}
        }
        state.cross = fault.cross.unwrap_or(state.cross);
        state.journal.gap = fault.event_gap.unwrap_or(state.journal.gap);
        if let Some(ms) = fault.late_reports_ms {
            state.reports.late = Duration::from_millis(ms);
        }
        state.note();
        self.gate.apply(&fault);
        if let Some(ms) = fault.outage_ms(self.settings.restart_ms) {
            state.crash();
            self.gate.cut_after_reply(Duration::from_millis(ms));
        }
        Ok(done())
    }

    /// Opens a stream for a request that came in boot `boot`.
    async fn open(&self, completion: Completion, boot: u64) -> Result<Opened, Refusal> {
        let base = self.lock().base(&completion.context).unwrap_or_default();
        let (completion, chain) = hash(completion, base).await;
        let mut state = self.lock();
        if state.warmth.boot != boot {
            return Ok(Opened::Crashed);
        }
        let opened = state.open(completion, chain)?;
        if matches!(opened, Opened::Crashed) {
            self.gate
                .cut(Duration::from_millis(self.settings.restart_ms));
        }
        self.arrivals.notify();
        Ok(opened)
    }

    async fn serve(self: &Arc<Self>, ask: &Ask, peer: &Peer) -> Response {
        let boot = self.lock().warmth.boot;
        self.gate.thaw().await;
        let response = match (ask.method, ask.segments().as_slice()) {
            (Method::Post, ["v1", "completions"]) => self.complete(ask, boot, peer).await,
            (Method::Get, ["v1", "streams", attempt]) => ask
                .number("from")
                .and_then(|from| self.stream(attempt, from.unwrap_or(0), peer)),
            (Method::Delete, ["v1", "streams", attempt]) => self.cancel(attempt),
            (Method::Get, ["v1", "streams"]) => Ok(self.streams()),
            (Method::Post, ["v1", "kv", "import"]) => self.import(ask, boot),
            (Method::Post, ["v1", "kv", handle, "export"]) => self.export(handle),
            (Method::Delete, ["v1", "kv", handle]) => self.release(handle),
            (Method::Get, ["v1", "events"]) => self.events(ask),
            (Method::Get, ["v1", "load"]) => Ok(self.load()),
            (Method::Post, ["v1", "orders"]) => self.order(ask).await,
            (Method::Get, ["v1", "orders"]) => Ok(json(200, &self.lock().orders.loaded)),
            _ => Err(unknown(ask)),
        };
        let response = response.unwrap_or_else(Response::from);
        let effect = matches!(ask.method, Method::Post | Method::Delete);
        self.gate.leave(response, peer, effect).await
    }

    fn cancel(&self, attempt: &str) -> Result<Response, Refusal> {
        if self.lock().cancel(attempt) {
            Ok(done())
        } else {
            Err(refuse(404, format!("attempt `{attempt}` does not run")))
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
        smol::spawn(Arc::clone(self).feed(reader, from, writer, peer.clone())).detach();
        let mut response = done();
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

    fn events(&self, ask: &Ask) -> Result<Response, Refusal> {
        let after = ask.number("after")?.unwrap_or(0);
        let state = self.lock();
        let events = state.journal.after(after, self.lag(&state), Instant::now());
        Ok(json(
            200,
            &value!({ "boot": state.warmth.boot, "events": events }),
        ))
    }

    fn lag(&self, state: &State) -> Duration {
        Duration::from_millis(self.settings.lag_ms) + state.reports.late
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

/// Attempts and handles are 16 hexadecimal digits.
pub(super) fn check_id(id: &str) -> Result<(), Refusal> {
    if id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(refuse(400, format!("`{id}` is not 16 hexadecimal digits")))
}

/// Hashes a prompt; a long one takes milliseconds and would hold up the other streams.
async fn hash(completion: Completion, base: u64) -> (Completion, Chain) {
    let long = completion.prompt.len() > INLINE_BYTES;
    let work = move || {
        let mut chain = Chain::new(base);
        chain.feed(completion.prompt.as_bytes());
        (completion, chain)
    };
    if long {
        return smol::unblock(work).await;
    }
    work()
}
