use std::time::Duration;

use super::cache::Cache;
use super::entry::Entry;
use super::fit::{unreserved, Bounds};
use super::ramp::Ramp;
use super::rate::Rate;
use super::running::Running;
use super::share::Shares;
use super::usage::Usage;
use super::{Class, Dispatch, Load, Refusal, Request, Settings, State};
use crate::id::{AttemptId, Tokens};

/// Decides which requests are sent to one target, and when.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) boot: Option<u64>,
    /// Number of engine restarts seen.
    pub(super) boots: u64,
    pub(super) decode: Rate,
    pub(super) foreign_memory: Tokens,
    pub(super) foreign_streams: u32,
    /// Sorted by request.
    pub(super) holds: Vec<(AttemptId, Tokens)>,
    /// Time at which the engine last completed a prefill chunk.
    pub(super) last_prefill: Duration,
    pub(super) leaving: bool,
    pub(super) memory: Tokens,
    pub(super) prefill: Rate,
    pub(super) prefix_cache: Cache,
    pub(super) ramp: Ramp,
    /// Sorted by request.
    pub(super) running: Vec<Running>,
    pub(super) sequence: u64,
    pub(super) settings: Settings,
    pub(super) shares: Shares,
    /// Sorted by key and sequence.
    pub(super) waiting: Vec<Entry>,
}

impl Scheduler {
    /// Creates the scheduler of a target about which nothing is known, so that it starts cold.
    pub fn new(settings: Settings, now: Duration) -> Scheduler {
        Scheduler {
            boot: None,
            boots: 0,
            decode: Rate::new(settings.decode_rate),
            foreign_memory: 0,
            foreign_streams: 0,
            holds: Vec::new(),
            last_prefill: now,
            leaving: false,
            memory: settings.memory,
            prefill: Rate::new(settings.prefill_rate),
            prefix_cache: Cache::default(),
            ramp: Ramp::new(settings.cold_limit, settings.limit),
            running: Vec::new(),
            sequence: 0,
            settings,
            shares: Shares::default(),
            waiting: Vec::new(),
        }
    }

    /// Checks the boot number of a reply. A changed number means that the engine has restarted: it is cold and has lost
    /// its memory, so that chunked prefills start again.
    pub fn observe_boot(&mut self, boot: u64, now: Duration) {
        let Some(known) = self.boot.replace(boot) else {
            return;
        };
        if known == boot {
            return;
        }
        self.boots += 1;
        self.prefix_cache.clear();
        self.mark_cold(now);
        let entries = std::mem::take(&mut self.waiting);
        for entry in entries {
            self.requeue(entry);
        }
    }

    /// Applies cache events of the engine: `added` and `removed` blocks. They are hints, so predictions may be wrong.
    pub fn update_cache(&mut self, added: &[u64], removed: &[u64], now: Duration) {
        self.prefix_cache.remove(removed);
        self.prefix_cache.insert(added, self.cache_capacity(), now);
    }

    /// Forgets all cached blocks, after a gap in the cache events.
    pub fn clear_cache(&mut self) {
        self.prefix_cache.clear();
    }

    /// Removes a queued or running request. For a running one, call this once the engine has confirmed the
    /// cancellation, because its slot and memory count as free from then on.
    pub fn cancel(&mut self, request: AttemptId, now: Duration) {
        self.finish(request, false, now);
    }

    /// Marks the target as cold.
    pub fn mark_cold(&mut self, _now: Duration) {
        self.ramp.mark_cold();
    }

    /// Records that a prefill chunk other than the last has ended, and queues the remaining prompt.
    pub fn finish_chunk(&mut self, request: AttemptId, now: Duration) {
        let Ok(at) = self.find(request) else {
            return;
        };
        if self.running[at].last {
            return;
        }
        let running = self.running.remove(at);
        if running.is_prefilling() {
            self.observe_prefill(&running, now);
        }
        let mut entry = running.entry;
        entry.prefilled = running.to;
        self.requeue(entry);
    }

    /// Applies the limits and the leaving flag of the target's record; `None` restores the setting. A target that
    /// stops leaving becomes cold.
    pub fn configure(&mut self, cold_limit: Option<u32>, memory: Option<Tokens>, leaving: bool) {
        let cold = cold_limit.unwrap_or(self.settings.cold_limit);
        self.ramp.set_cold_limit(cold);
        self.memory = memory.unwrap_or(self.settings.memory);
        if self.leaving && !leaving {
            self.ramp.mark_cold();
        }
        self.leaving = leaving;
    }

    /// Removes and returns the queued requests of which nothing was sent to the engine.
    pub fn drain(&mut self, _now: Duration) -> Vec<AttemptId> {
        self.remove_waiting(|entry| !entry.started)
    }

    /// Removes and returns all queued requests, including those between two chunks. The memory of the latter then
    /// counts as free, so the caller must delete what the engine keeps of them.
    pub fn evict(&mut self, _now: Duration) -> Vec<AttemptId> {
        self.remove_waiting(|_| true)
    }

    /// Removes and returns the queued requests, including those between two chunks, whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<AttemptId> {
        self.remove_waiting(|entry| entry.request.deadline <= now)
    }

    /// Removes a request that has left the engine. Only completed requests let the limit of a cold target grow.
    pub fn finish(&mut self, request: AttemptId, completed: bool, now: Duration) {
        let Ok(at) = self.find(request) else {
            self.waiting.retain(|entry| entry.request.id != request);
            return;
        };
        let running = self.running.remove(at);
        if !completed || !running.last {
            return;
        }
        self.observe_decode(&running, now);
        self.ramp.complete(running.entry.epoch);
        // A prefill of an earlier boot, or through a handle, is not in the prefix cache.
        if running.entry.prefilled == 0 && running.entry.boots == self.boots {
            let blocks = self.cache_capacity();
            self.prefix_cache
                .insert(&running.entry.request.prefix, blocks, now);
        }
    }

    /// Records the first token of a request, which ends its prefill.
    pub fn record_first_token(&mut self, request: AttemptId, now: Duration) {
        let Ok(at) = self.find(request) else {
            return;
        };
        if !self.running[at].is_prefilling() {
            return;
        }
        self.running[at].first_token = Some(now);
        let running = self.running[at].clone();
        self.observe_prefill(&running, now);
    }

    /// Sets the load at the engine that this scheduler did not start; replaces the last reading.
    pub fn set_foreign_load(&mut self, streams: u32, memory: Tokens, _now: Duration) {
        self.foreign_memory = memory;
        self.foreign_streams = streams;
    }

    /// Reserves memory for one part of a gang, outside of the reserve for short prompts. A repeat with the same request
    /// replaces the hold. Returns whether the memory is held. A hold takes no slot; only the chunks of the part do,
    /// while they run.
    pub fn hold(&mut self, request: AttemptId, tokens: Tokens, _now: Duration) -> bool {
        let at = self.holds.binary_search_by_key(&request, |hold| hold.0);
        let own = at.map_or(0, |at| self.holds[at].1);
        if tokens == 0 || tokens > self.holdable(own) {
            return at.is_ok() && tokens <= own;
        }
        match at {
            Ok(at) => self.holds[at].1 = tokens,
            Err(at) => self.holds.insert(at, (request, tokens)),
        }
        true
    }

    /// Returns the next chunk to send to the engine now; to be called until it returns `None`.
    pub fn next(&mut self, now: Duration) -> Option<Dispatch> {
        let pick = self.pick(now)?;
        let mut entry = self.waiting.remove(pick.index);
        if entry.prefilled == 0 {
            entry.cached = self.cached(&entry.request);
            entry.epoch = self.ramp.epoch();
            entry.boots = self.boots;
        }
        let from = entry.prefilled;
        let to = entry.chunk_end(self.chunk_size());
        let last = to == entry.request.prompt;
        let uncached = entry.uncached(to);
        let decode = if last { entry.request.max_tokens } else { 0 };
        self.shares
            .charge(entry.share, uncached.saturating_add(decode), pick.floor);
        entry.allocated = true;
        entry.started = true;
        let dispatch = Dispatch {
            cached: entry.cached,
            from,
            last,
            priority: if self.settings.slack {
                entry.class.priority()
            } else {
                0
            },
            request: entry.request.id,
            to,
        };
        self.insert_running(Running {
            cold: self.ramp.state() == State::Cold,
            entry,
            first_token: None,
            last,
            sent: now,
            to,
            uncached,
        });
        Some(dispatch)
    }

    /// Queues a request or refuses it.
    pub fn offer(&mut self, request: Request, now: Duration) -> Result<(), Refusal> {
        let share = self.shares.register(&request.workspace, request.weight);
        let mut entry = self.entry(request, share, now);
        entry.sequence = self.sequence;
        self.admit(&entry, now)?;
        self.queue(entry);
        Ok(())
    }

    /// Applies the target's own report, in a reply, whether it is cold.
    pub fn report_cold(&mut self, cold: bool, _now: Duration) {
        self.ramp.report(cold);
    }

    /// Releases the hold of a gang.
    pub fn release(&mut self, request: AttemptId) {
        self.holds.retain(|hold| hold.0 != request);
    }

    /// Earliest deadline in the queue, at which [`Scheduler::expire`] has something to remove.
    pub fn deadline(&self) -> Option<Duration> {
        self.waiting
            .iter()
            .map(|entry| entry.request.deadline)
            .min()
    }

    /// Running requests, sorted by id.
    pub fn in_flight(&self) -> Vec<AttemptId> {
        self.running.iter().map(Running::request).collect()
    }

    /// Load of the target as routing sees it.
    pub fn load(&self, now: Duration) -> Load {
        let bounds = self.bounds();
        // The chunks of a gang's part are of medium length, but follow each other like those of a long prompt.
        let long = |entry: &Entry| match entry.class {
            Class::Long => true,
            Class::Medium => entry.request.held,
            Class::Short => false,
        };
        let waiting = self.waiting.iter().filter(|entry| long(entry)).count();
        let prefilling = self
            .running
            .iter()
            .filter(|running| long(&running.entry) && running.is_prefilling())
            .count();
        Load {
            backlog: self.backlog(now),
            capacity: self.capacity(Class::Long),
            free: self.memory.saturating_sub(bounds.usage.memory),
            full: self.waiting.len() >= self.settings.queue_limit,
            holdable: self.holdable(0),
            long: (waiting + prefilling) as u32,
            queued: self.waiting.len() as u32,
            running: bounds.usage.slots,
            state: self.state(),
        }
    }

    /// The state of the target.
    pub fn state(&self) -> State {
        if !self.leaving {
            return self.ramp.state();
        }
        if self.waiting.is_empty() && self.running.is_empty() && self.holds.is_empty() {
            return State::Gone;
        }
        State::Leaving
    }

    pub(super) fn bounds(&self) -> Bounds<'_> {
        let held: Tokens = self.holds.iter().map(|hold| hold.1).sum();
        let fixed_memory = self.foreign_memory.saturating_add(held);
        let fixed_slots = self.foreign_streams;
        Bounds {
            fixed_memory,
            fixed_slots,
            memory: self.memory,
            settings: &self.settings,
            slots: self.ramp.limit(),
            usage: self.usage(fixed_memory, fixed_slots),
        }
    }

    /// Tokens per prefill chunk; `None` if prompts are sent whole.
    pub(super) fn chunk_size(&self) -> Option<Tokens> {
        self.settings.chunking.then_some(self.settings.chunk)
    }

    /// Creates the queue entry of a request.
    pub(super) fn entry(&self, request: Request, share: usize, now: Duration) -> Entry {
        let mut entry = Entry {
            aged_at: now,
            allocated: false,
            arrival: now,
            boots: self.boots,
            cached: self.cached(&request),
            class: Class::of(request.prompt),
            epoch: self.ramp.epoch(),
            key: 0,
            prefilled: 0,
            request,
            sequence: 0,
            share,
            started: false,
        };
        let spare = entry
            .request
            .deadline
            .saturating_sub(now + self.service_time(&entry));
        entry.aged_at = now + spare / 2;
        entry.key = self.key(&entry);
        entry
    }

    pub(super) fn contains(&self, request: AttemptId) -> bool {
        self.find(request).is_ok() || self.waiting.iter().any(|entry| entry.request.id == request)
    }

    fn cache_capacity(&self) -> usize {
        (self.memory / self.settings.block.max(1)) as usize
    }

    /// Leading tokens predicted to be cached. The engine always computes the last token of a prompt.
    fn cached(&self, request: &Request) -> Tokens {
        let known = self
            .prefix_cache
            .cached_tokens(&request.prefix, self.settings.block);
        known.min(request.prompt.saturating_sub(1))
    }

    fn find(&self, request: AttemptId) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&request, Running::request)
    }

    fn insert_running(&mut self, running: Running) {
        if let Err(at) = self.find(running.request()) {
            self.running.insert(at, running);
        }
    }

    /// Most memory that a hold may take which has `own` so far.
    fn holdable(&self, own: Tokens) -> Tokens {
        let bounds = self.bounds();
        let usage = &bounds.usage;
        if self.leaving {
            return 0;
        }
        let others = usage.memory - usage.short_memory - own;
        let capacity = unreserved(self.memory, &self.settings);
        let most = self.settings.holdable(capacity).saturating_sub(others);
        most.min(self.memory.saturating_sub(usage.memory - own))
    }

    /// Sort key in the queue. All keys approach `now` at the same rate, so that they stay valid while queued.
    fn key(&self, entry: &Entry) -> i64 {
        if !self.settings.slack {
            return 0;
        }
        let slack = micros(entry.request.deadline) - micros(self.service_time(entry));
        slack + (self.settings.ageing * entry.arrival.as_secs_f64() * 1e6) as i64
    }

    fn observe_decode(&mut self, running: &Running, now: Duration) {
        let Some(first) = running.first_token else {
            return;
        };
        if !running.cold {
            let tokens = running.entry.request.max_tokens.saturating_sub(1);
            self.decode.observe(tokens, now.saturating_sub(first));
        }
    }

    /// Updates the prefill rate. An engine prefills one chunk after another, so a chunk took the time since the chunk
    /// before it ended.
    fn observe_prefill(&mut self, running: &Running, now: Duration) {
        let since = self.last_prefill.max(running.sent);
        self.last_prefill = now;
        if !running.cold {
            self.prefill
                .observe(running.uncached, now.saturating_sub(since));
        }
    }

    fn queue(&mut self, mut entry: Entry) {
        entry.sequence = self.sequence;
        self.sequence += 1;
        if !self.waiting.iter().any(|other| other.share == entry.share) {
            self.shares.activate(entry.share);
        }
        let at = self
            .waiting
            .partition_point(|other| other.order() < entry.order());
        self.waiting.insert(at, entry);
    }

    /// Queues a request again. Its progress is lost if the engine has restarted since its first chunk.
    fn requeue(&mut self, mut entry: Entry) {
        if entry.boots != self.boots {
            entry.boots = self.boots;
            entry.cached = 0;
            entry.prefilled = 0;
            entry.allocated = false;
        }
        entry.key = self.key(&entry);
        self.queue(entry);
    }

    fn remove_waiting(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<AttemptId> {
        let mut taken = Vec::new();
        self.waiting.retain(|entry| {
            let matched = matches(entry);
            if matched {
                taken.push(entry.request.id);
            }
            !matched
        });
        taken
    }

    fn usage(&self, memory: Tokens, slots: u32) -> Usage {
        let mut usage = Usage {
            memory,
            slots,
            ..Usage::default()
        };
        for running in &self.running {
            usage.add_memory(&running.entry);
            usage.add_running(running);
        }
        for entry in self.waiting.iter().filter(|entry| entry.allocated) {
            usage.add_memory(entry);
            usage.long |= entry.class == Class::Long;
        }
        usage
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros())
        .unwrap_or(i64::MAX / 4)
        .min(i64::MAX / 4)
}
