//! State of an engine; does no I/O.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::cache::{Cache, BLOCK_TOKENS};
use crate::engine::handle::Handle;
use crate::engine::journal::Journal;
use crate::engine::order::Orders;
use crate::engine::report::{Received, Reports};
use crate::engine::stream::{Phase, Stream};
use crate::engine::Settings;
use crate::warmth::Warmth;

/// Newest finished streams that can still be resumed.
const FINISHED_LIMIT: usize = 256;

/// State of an engine: streams, memory, orders and statistics.
#[derive(Debug)]
pub(super) struct State {
    pub(super) cache: Cache,
    pub(super) cancelled: u64,
    pub(super) completed: u64,
    /// Fault: the next frame is preceded by one of another attempt.
    pub(super) cross: bool,
    pub(super) finished: VecDeque<Stream>,
    /// Sorted by name.
    pub(super) handles: Vec<Handle>,
    pub(super) journal: Journal,
    pub(super) orders: Orders,
    pub(super) peak_memory: u64,
    pub(super) refused: u64,
    pub(super) reports: Reports,
    pub(super) requests: VecDeque<Received>,
    /// Serial number of the newest stream.
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

    /// Ends a stream before its response is complete. Returns false if it is not running.
    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        let Ok(index) = self.find_stream(attempt) else {
            return false;
        };
        let stream = self.streams.remove(index);
        self.cancelled += 1;
        stream.signal.notify();
        self.report_load();
        true
    }

    /// Ends a stream whose response is complete. Its prompt and response are cached unless they are kept under a
    /// handle.
    pub(super) fn complete(&mut self, serial: u64) {
        let Some(index) = self.position(serial) else {
            return;
        };
        let mut stream = self.streams.remove(index);
        stream.phase = Phase::Finished;
        self.completed += 1;
        self.warmth.count_completion();
        if stream.handle.is_none() {
            self.cache_blocks(&stream.chain.blocks);
        }
        stream.signal.notify();
        if self.finished.len() == FINISHED_LIMIT {
            self.finished.pop_front();
        }
        self.finished.push_back(stream);
        self.report_load();
    }

    /// Drops everything that is in memory and starts a cold boot.
    pub(super) fn crash(&mut self) {
        self.warmth.restart();
        for stream in self.streams.drain(..) {
            stream.signal.notify();
        }
        for stream in self.finished.drain(..) {
            stream.signal.notify();
        }
        self.handles.clear();
        self.clear_cache();
        self.report_load();
    }

    pub(super) fn find_handle(&self, name: &str) -> Result<usize, usize> {
        self.handles
            .binary_search_by(|handle| handle.name.as_str().cmp(name))
    }

    pub(super) fn find_stream(&self, attempt: &str) -> Result<usize, usize> {
        self.streams
            .binary_search_by(|stream| stream.attempt.as_str().cmp(attempt))
    }

    /// Ends the prefill of a stream and stores its handle. Returns true if there are tokens to generate.
    pub(super) fn finish_prefill(&mut self, serial: u64) -> bool {
        let Some(index) = self.position(serial) else {
            return false;
        };
        self.store_handle(index);
        let stream = &mut self.streams[index];
        stream.phase = Phase::Decode;
        if stream.max_tokens > 0 {
            return true;
        }
        self.complete(serial);
        false
    }

    /// Index of a running stream.
    pub(super) fn position(&self, serial: u64) -> Option<usize> {
        self.streams
            .iter()
            .position(|stream| stream.serial == serial)
    }

    /// Starts the next prefill and returns its serial number and duration. The lowest priority number goes first, then
    /// the earliest arrival.
    pub(super) fn start_prefill(&mut self) -> Option<(u64, Duration)> {
        let stream = self
            .streams
            .iter_mut()
            .filter(|stream| stream.phase == Phase::Waiting)
            .min_by_key(|stream| (stream.priority, stream.serial))?;
        stream.phase = Phase::Prefill;
        stream.cached = self.cache.lookup(&stream.chain.blocks) * BLOCK_TOKENS;
        let factor = if self.warmth.cold {
            self.settings.cold_factor
        } else {
            1.0
        };
        let tokens = stream.prompt.saturating_sub(stream.cached) as f64;
        let duration = Duration::from_secs_f64(tokens * factor / self.settings.prefill_rate);
        Some((stream.serial, duration))
    }

    /// Generates one token. Returns false if it was the last one or the stream is not running.
    pub(super) fn generate_token(&mut self, serial: u64) -> bool {
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

    /// Number of streams whose prefill has not ended.
    pub(super) fn waiting(&self) -> usize {
        let waiting = |stream: &&Stream| matches!(stream.phase, Phase::Prefill | Phase::Waiting);
        self.streams.iter().filter(waiting).count()
    }

    /// Moves the KV of a prompt, and its memory, from the stream to its handle.
    fn store_handle(&mut self, index: usize) {
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
