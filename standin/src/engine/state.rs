use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ask::{refuse, Refusal};
use crate::clock::unix_ms;
use crate::engine::cache::{Cache, BLOCK_TOKENS};
use crate::engine::chain::Chain;
use crate::engine::handle::Handle;
use crate::engine::journal::{Journal, Kind};
use crate::engine::order::Orders;
use crate::engine::report::{Memory, Reports, Seen};
use crate::engine::stream::{Completion, Phase, Stream};
use crate::engine::Settings;
use crate::signal::Signal;
use crate::text;
use crate::warmth::Warmth;

/// Finished streams that can still be resumed.
const FINISHED_LIMIT: usize = 256;

/// Newest requests that the statistics list.
const REQUEST_LIMIT: usize = 10_000;

/// Everything that an engine holds.
#[derive(Debug)]
pub(super) struct State {
    pub(super) cache: Cache,
    pub(super) cancelled: u64,
    pub(super) completed: u64,
    /// Whether the next frame is preceded by one of another attempt.
    pub(super) cross: bool,
    pub(super) finished: VecDeque<Stream>,
    /// Sorted by name.
    pub(super) handles: Vec<Handle>,
    pub(super) journal: Journal,
    pub(super) orders: Orders,
    pub(super) peak_memory: u64,
    pub(super) refused: u64,
    pub(super) reports: Reports,
    pub(super) requests: VecDeque<Seen>,
    serial: u64,
    pub(super) settings: Settings,
    /// Sorted by attempt.
    pub(super) streams: Vec<Stream>,
    pub(super) warmth: Warmth,
}

/// Result of an accepted request.
pub(super) enum Opened {
    /// The engine crashed under it.
    Crashed,
    /// It waits for prefill.
    Running,
}

impl State {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            cache: Cache::default(),
            cancelled: 0,
            completed: 0,
            cross: false,
            finished: VecDeque::new(),
            handles: Vec::new(),
            journal: Journal::default(),
            orders: Orders::new(&settings),
            peak_memory: 0,
            refused: 0,
            reports: Reports::default(),
            requests: VecDeque::new(),
            serial: 0,
            streams: Vec::new(),
            warmth: Warmth::new(
                settings.boot,
                settings.cold,
                settings.cold_limit,
                settings.warm_after,
            ),
            settings,
        }
    }

    /// Hash state after the handles of a context, which must continue each other.
    pub(super) fn base(&self, context: &[String]) -> Result<u64, Refusal> {
        let mut state = text::empty();
        for name in context {
            let Ok(index) = self.find_handle(name) else {
                return Err(refuse(404, format!("no handle `{name}`")));
            };
            let handle = &self.handles[index];
            if handle.base != state {
                return Err(refuse(
                    400,
                    format!("handle `{name}` does not continue the context"),
                ));
            }
            state = handle.state;
        }
        Ok(state)
    }

    /// Ends a stream without a response; false if it does not run.
    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        let Ok(index) = self.find_stream(attempt) else {
            return false;
        };
        let stream = self.streams.remove(index);
        self.cancelled += 1;
        stream.signal.notify();
        self.note();
        true
    }

    /// Ends a stream whose response is complete.
    pub(super) fn complete(&mut self, serial: u64) {
        let Some(index) = self.position(serial) else {
            return;
        };
        let mut stream = self.streams.remove(index);
        stream.phase = Phase::Finished;
        self.completed += 1;
        self.warmth.complete();
        if stream.handle.is_none() {
            self.store(&stream.chain.blocks);
        }
        stream.signal.notify();
        if self.finished.len() == FINISHED_LIMIT {
            self.finished.pop_front();
        }
        self.finished.push_back(stream);
        self.note();
    }

    /// Loses everything that is in memory; the next boot is cold.
    pub(super) fn crash(&mut self) {
        self.warmth.boot();
        for stream in self.streams.drain(..) {
            stream.signal.notify();
        }
        for stream in self.finished.drain(..) {
            stream.signal.notify();
        }
        self.handles.clear();
        self.clear_cache();
        self.note();
    }

    /// Empties the prefix cache.
    pub(super) fn clear_cache(&mut self) {
        self.cache.clear();
        self.journal.add(Kind::Cleared, &[], Instant::now());
    }

    pub(super) fn find_handle(&self, name: &str) -> Result<usize, usize> {
        self.handles
            .binary_search_by(|handle| handle.name.as_str().cmp(name))
    }

    pub(super) fn find_stream(&self, attempt: &str) -> Result<usize, usize> {
        self.streams
            .binary_search_by(|stream| stream.attempt.as_str().cmp(attempt))
    }

    /// Ends the prefill of a stream and keeps its handle; true if it has tokens to generate.
    pub(super) fn finish_prefill(&mut self, serial: u64) -> bool {
        let Some(index) = self.position(serial) else {
            return false;
        };
        self.keep(index);
        let stream = &mut self.streams[index];
        stream.phase = Phase::Decode;
        if stream.max_tokens > 0 {
            return true;
        }
        self.complete(serial);
        false
    }

    /// Memory held, by kind.
    pub(super) fn memory(&self) -> Memory {
        let streams = self.streams.iter().map(|stream| {
            let prompt = stream.reserved.saturating_sub(stream.max_tokens);
            prompt + stream.generated()
        });
        Memory {
            cache: self.cache.tokens(),
            handles: self.kept(),
            limit: self.settings.memory,
            reserved: self.reserved(),
            streams: streams.sum(),
        }
    }

    /// Records a load report.
    pub(super) fn note(&mut self) {
        let memory = self.memory();
        self.peak_memory = self
            .peak_memory
            .max(memory.cache + memory.handles + memory.reserved);
        let waiting = self.waiting();
        self.reports
            .add(&self.warmth, memory, self.streams.len(), waiting);
    }

    /// Accepts a request, whose prompt has been hashed into `chain`.
    pub(super) fn open(&mut self, ask: Completion, chain: Chain) -> Result<Opened, Refusal> {
        let checked = self.check(&ask, &chain);
        let status = checked
            .as_ref()
            .map_or_else(|refusal| refusal.status, |()| 200);
        self.see(&ask, status);
        checked.inspect_err(|_| self.refused += 1)?;
        self.reserve(text::tokens(&ask.prompt).saturating_add(ask.max_tokens));
        self.insert(ask, chain);
        if self.warmth.load(self.streams.len()) {
            self.crash();
            return Ok(Opened::Crashed);
        }
        self.note();
        Ok(Opened::Running)
    }

    pub(super) fn position(&self, serial: u64) -> Option<usize> {
        self.streams
            .iter()
            .position(|stream| stream.serial == serial)
    }

    /// Starts the next prefill: the lowest priority number first, then the earliest arrival.
    pub(super) fn start_prefill(&mut self) -> Option<(u64, Duration)> {
        let stream = self
            .streams
            .iter_mut()
            .filter(|stream| stream.phase == Phase::Waiting)
            .min_by_key(|stream| (stream.priority, stream.serial))?;
        stream.phase = Phase::Prefill;
        stream.cached = self.cache.hit(&stream.chain.blocks) * BLOCK_TOKENS;
        let factor = if self.warmth.cold {
            self.settings.cold_factor
        } else {
            1.0
        };
        let tokens = stream.prompt.saturating_sub(stream.cached) as f64;
        let cost = Duration::from_secs_f64(tokens * factor / self.settings.prefill_rate);
        Some((stream.serial, cost))
    }

    /// Generates one token; false if there is no further one.
    pub(super) fn step(&mut self, serial: u64) -> bool {
        let Some(index) = self.position(serial) else {
            return false;
        };
        let stream = &mut self.streams[index];
        let token = stream.chain.generate();
        stream.text.push_str(&token);
        if stream.generated() < stream.max_tokens {
            stream.signal.notify();
            return true;
        }
        self.complete(serial);
        false
    }

    pub(super) fn waiting(&self) -> usize {
        let waiting = |stream: &&Stream| matches!(stream.phase, Phase::Prefill | Phase::Waiting);
        self.streams.iter().filter(waiting).count()
    }

    /// Checks a request. Its context may have changed while the prompt was hashed.
    fn check(&self, ask: &Completion, chain: &Chain) -> Result<(), Refusal> {
        if ask.model != self.orders.loaded.model {
            return Err(refuse(404, format!("model `{}` is not loaded", ask.model)));
        }
        if self.find_stream(&ask.attempt).is_ok() {
            return Err(refuse(409, format!("attempt `{}` is running", ask.attempt)));
        }
        self.check_handle(ask)?;
        let need = text::tokens(&ask.prompt).saturating_add(ask.max_tokens);
        let held = self.reserved() + self.kept();
        if need > self.settings.memory.saturating_sub(held) {
            return Err(refuse(429, format!("no memory for {need} tokens")));
        }
        if self.base(&ask.context)? != chain.base {
            return Err(refuse(409, "the context has changed"));
        }
        Ok(())
    }

    /// A new handle must have an unused name; an existing one can only be extended.
    fn check_handle(&self, ask: &Completion) -> Result<(), Refusal> {
        let Some(name) = &ask.handle else {
            return Ok(());
        };
        let pending =
            |stream: &Stream| stream.handle.as_ref() == Some(name) && stream.phase != Phase::Decode;
        if self.streams.iter().any(pending) {
            return Err(refuse(409, format!("handle `{name}` is being written")));
        }
        match self.find_handle(name) {
            Ok(index) if self.handles[index].remote || ask.context.last() != Some(name) => {
                Err(refuse(409, format!("handle `{name}` exists")))
            }
            Ok(_) | Err(_) => Ok(()),
        }
    }

    fn insert(&mut self, ask: Completion, chain: Chain) {
        self.serial += 1;
        let prompt = text::tokens(&ask.prompt);
        let stream = Stream {
            attempt: ask.attempt,
            cached: 0,
            chain,
            context: ask.context,
            departures: 0,
            handle: ask.handle,
            max_tokens: ask.max_tokens,
            phase: Phase::Waiting,
            priority: ask.priority,
            prompt,
            readers: 0,
            reserved: prompt + ask.max_tokens,
            serial: self.serial,
            signal: Signal::default().into(),
            text: String::new(),
        };
        if let Err(index) = self.find_stream(&stream.attempt) {
            self.streams.insert(index, stream);
        }
    }

    /// Moves the prompt of a stream into its handle.
    fn keep(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let Some(name) = stream.handle.clone() else {
            return;
        };
        let (base, state, tokens) = (stream.chain.base, stream.chain.state, stream.prompt);
        stream.reserved -= tokens;
        match self.find_handle(&name) {
            Ok(index) => {
                self.handles[index].state = state;
                self.handles[index].tokens += tokens;
            }
            Err(index) => self.handles.insert(
                index,
                Handle {
                    base,
                    name,
                    remote: false,
                    state,
                    tokens,
                },
            ),
        }
    }

    /// Memory of local handles in tokens.
    fn kept(&self) -> u64 {
        let local = self.handles.iter().filter(|handle| !handle.remote);
        local.map(|handle| handle.tokens).sum()
    }

    /// Evicts cache blocks until `need` tokens fit.
    fn reserve(&mut self, need: u64) {
        let held = self.reserved() + self.kept() + need;
        let removed = self.cache.trim(self.settings.memory.saturating_sub(held));
        self.journal.add(Kind::Removed, &removed, Instant::now());
    }

    fn reserved(&self) -> u64 {
        self.streams.iter().map(|stream| stream.reserved).sum()
    }

    fn see(&mut self, ask: &Completion, status: u16) {
        if self.requests.len() == REQUEST_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back(Seen {
            at_ms: unix_ms(),
            attempt: ask.attempt.clone(),
            handle: ask.handle.clone(),
            prompt: text::tokens(&ask.prompt),
            status,
        });
    }

    /// Adds blocks to the prefix cache as far as memory is left.
    fn store(&mut self, blocks: &[u64]) {
        let stored = self.cache.insert(blocks);
        self.journal.add(Kind::Stored, &stored, Instant::now());
        self.reserve(0);
    }
}
