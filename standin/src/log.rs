//! Log service: append-only streams with offsets, long polls and limited retention.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use jujubehook_http::http_types::{Method, Request as HttpRequest, Response};
use jujubehook_http::{json, Peer};
use serde::Serialize;
use serde_json::json as value;
use smol::Timer;

use crate::bucket::Bucket;
use crate::fault::Fault;
use crate::gate::Gate;
use crate::host::{Handler, Host};
use crate::request::{not_found, refuse, success, Refusal, Request};
use crate::signal::Signal;

/// Default limit on the entries that one read returns.
const READ_LIMIT: u64 = 1_000;

/// Longest long poll in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Appends per second over all streams; 0 means no limit.
    pub rate: f64,
    /// Newest entries that each stream keeps.
    pub retention: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 0.0,
            retention: 100_000,
        }
    }
}

/// A running log service; dropping it stops the server.
#[derive(Debug)]
pub struct Log {
    host: Host,
}

impl Log {
    /// Serves a log on `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let (gate, outages) = Gate::new();
        let state = State {
            appends: 0,
            bucket: bucket(settings.rate),
            refused: 0,
            retention: settings.retention,
            streams: Vec::new(),
        };
        let core = Arc::new(Core {
            appended: Signal::default(),
            gate,
            state: Mutex::new(state),
        });
        let host = Host::start(address, core, outages).await?;
        Ok(Self { host })
    }

    /// The address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

/// State that the request handlers share.
struct Core {
    appended: Signal,
    gate: Gate,
    state: Mutex<State>,
}

struct State {
    appends: u64,
    bucket: Bucket,
    refused: u64,
    retention: usize,
    /// Sorted by name.
    streams: Vec<Stream>,
}

/// One append-only stream.
struct Stream {
    bodies: VecDeque<Arc<str>>,
    /// Offset of the first entry that is kept.
    first: u64,
    name: String,
}

#[derive(Serialize)]
struct Entry<'a> {
    body: &'a str,
    offset: u64,
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
            (Method::Get, ["streams", name]) => {
                self.gate.wait_unfrozen().await;
                let response = self.read(&request, name, &peer).await;
                let response = response.unwrap_or_else(Response::from);
                self.gate.release(response, &peer, false).await
            }
            (Method::Post, ["streams", name]) => {
                self.gate.wait_unfrozen().await;
                let response = self.append(&request, name).unwrap_or_else(Response::from);
                self.gate.release(response, &peer, true).await
            }
            _ => not_found(&request).into(),
        }
    }
}

impl Core {
    fn append(&self, request: &Request, name: &str) -> Result<Response, Refusal> {
        let body = match String::from_utf8(request.body.clone()) {
            Ok(body) if serde_json::from_str::<serde::de::IgnoredAny>(&body).is_ok() => body,
            Ok(_) | Err(_) => return Err(refuse(400, format!("entry for `{name}` is not JSON"))),
        };
        let mut state = self.lock();
        if !state.bucket.take(Instant::now()) {
            state.refused += 1;
            return Err(refuse(429, "append rate limit"));
        }
        state.appends += 1;
        let retention = state.retention;
        let offset = state.stream(name).push(body.into(), retention);
        drop(state);
        self.appended.notify();
        Ok(json(200, &value!({ "offset": offset })))
    }

    fn fault(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = Fault::read(request, &["rate", "retention"])?;
        let mut state = self.lock();
        if let Some(rate) = fault.rate {
            state.bucket = bucket(rate);
        }
        if let Some(retention) = fault.retention {
            state.set_retention(retention);
        }
        drop(state);
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

    async fn read(&self, request: &Request, name: &str, peer: &Peer) -> Result<Response, Refusal> {
        let from = request.number("from")?.unwrap_or(1).max(1);
        let limit = request.number("limit")?.unwrap_or(READ_LIMIT).max(1);
        let wait = request.number("wait_ms")?.unwrap_or(0).min(WAIT_LIMIT_MS);
        let end = Instant::now() + Duration::from_millis(wait);
        let poll = self.wait_for_entry(name, from, end);
        let _ = peer.run_until_closed(poll).await;
        let mut state = self.lock();
        let stream = state.stream(name);
        Ok(stream.page(from, limit))
    }

    /// Waits until the stream has an entry at offset `from` or later, at most until `end`.
    async fn wait_for_entry(&self, name: &str, from: u64, end: Instant) {
        loop {
            let listener = self.appended.listen();
            if self.lock().stream(name).next() > from || Instant::now() >= end {
                return;
            }
            future::or(listener.wait(), async {
                Timer::at(end).await;
            })
            .await;
        }
    }

    fn stats(&self) -> Response {
        let state = self.lock();
        let streams: Vec<_> = state
            .streams
            .iter()
            .map(|stream| value!({ "first": stream.first, "name": stream.name, "next": stream.next() }))
            .collect();
        json(
            200,
            &value!({
                "appends": state.appends,
                "refused": state.refused,
                "streams": streams,
                "waiting": self.appended.waiting(),
            }),
        )
    }
}

impl State {
    fn set_retention(&mut self, retention: usize) {
        self.retention = retention;
        for stream in &mut self.streams {
            stream.trim(retention);
        }
    }

    /// The stream `name`, which is created if it does not exist.
    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name))
            .unwrap_or_else(|index| {
                self.streams.insert(index, Stream::new(name));
                index
            });
        &mut self.streams[index]
    }
}

impl Stream {
    fn new(name: &str) -> Self {
        Self {
            bodies: VecDeque::new(),
            first: 1,
            name: name.to_owned(),
        }
    }

    /// Offset of the next entry.
    fn next(&self) -> u64 {
        self.first + self.bodies.len() as u64
    }

    /// The entries from offset `from` on, at most `limit`.
    fn page(&self, from: u64, limit: u64) -> Response {
        let start = from.max(self.first);
        let entries: Vec<Entry<'_>> = (start..self.next())
            .zip(self.bodies.iter().skip((start - self.first) as usize))
            .take(limit as usize)
            .map(|(offset, body)| Entry { body, offset })
            .collect();
        let next = entries
            .last()
            .map_or_else(|| self.next(), |entry| entry.offset + 1);
        json(
            200,
            &value!({ "entries": entries, "first": self.first, "next": next }),
        )
    }

    /// Appends an entry and returns its offset.
    fn push(&mut self, body: Arc<str>, retention: usize) -> u64 {
        let offset = self.next();
        self.bodies.push_back(body);
        self.trim(retention);
        offset
    }

    fn trim(&mut self, retention: usize) {
        while self.bodies.len() > retention {
            self.bodies.pop_front();
            self.first += 1;
        }
    }
}

/// A bucket whose burst is a tenth of a second of appends.
fn bucket(rate: f64) -> Bucket {
    Bucket::new(rate, (rate / 10.0).max(1.0), Instant::now())
}
