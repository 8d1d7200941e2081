//! State of an engine, without I/O.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::cache::{Cache, BLOCK_TOKENS};
use crate::engine::handle::Handle;
use crate::engine::journal::Journal;
use crate::engine::order::Orders;
use crate::engine::report::{Reports, Seen};
use crate::engine::stream::{Phase, Stream};
use crate::engine::Settings;
use crate::warmth::Warmth;

/// Finished streams that can still be resumed.
const FINISHED_LIMIT: usize = 256;

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
    pub(super) serial: u64,
    pub(super) settings: Settings,
    /// Sorted by attempt.
    pub(super) streams: Vec<Stream>,
    pub(super) warmth: Warmth,
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
}
