use std::time::Duration;

use super::entry::Entry;
use super::fit::{capacity, Bounds};
use super::flight::Flight;
use super::prefix::Prefix;
use super::ramp::Ramp;
use super::rate::Rate;
use super::share::Shares;
use super::usage::Usage;
use super::{Class, Dispatch, Load, Refusal, Request, Settings, State};
use crate::id::{AttemptId, Tokens};

/// Decides what goes to one target, and when.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) boot: Option<u64>,
    /// Number of boots seen.
    pub(super) boots: u64,
    pub(super) decode: Rate,
    /// Sorted by request.
    pub(super) flying: Vec<Flight>,
    pub(super) foreign_memory: Tokens,
    pub(super) foreign_streams: u32,
    /// Sorted by request.
    pub(super) holds: Vec<(AttemptId, Tokens)>,
    pub(super) leaving: bool,
    pub(super) memory: Tokens,
    pub(super) prefill: Rate,
    /// When the engine last completed a prefill piece.
    pub(super) prefilled: Duration,
    pub(super) prefix: Prefix,
    pub(super) ramp: Ramp,
    pub(super) sequence: u64,
    pub(super) settings: Settings,
    pub(super) shares: Shares,
    /// Sorted by key and sequence.
    pub(super) waiting: Vec<Entry>,
}

impl Scheduler {
    /// A scheduler of a target about which nothing is known: it starts cold.
    pub fn new(settings: Settings, now: Duration) -> Scheduler {
        Scheduler {
            boot: None,
            boots: 0,
            decode: Rate::new(settings.decode_rate),
            flying: Vec::new(),
            foreign_memory: 0,
            foreign_streams: 0,
            holds: Vec::new(),
            leaving: false,
            memory: settings.memory,
            prefill: Rate::new(settings.prefill_rate),
            prefilled: now,
            prefix: Prefix::default(),
            ramp: Ramp::new(settings.cold_limit, settings.limit),
            sequence: 0,
            settings,
            shares: Shares::default(),
            waiting: Vec::new(),
        }
    }

    /// Takes the boot number of a reply. A changed number means that the engine restarted: it is cold and has lost
    /// its memory, so that chunked prefills start anew.
    pub fn observe_boot(&mut self, boot: u64, now: Duration) {
        let Some(known) = self.boot.replace(boot) else {
            return;
        };
        if known == boot {
            return;
        }
        self.boots += 1;
        self.prefix.clear();
        self.mark_cold(now);
        let entries = std::mem::take(&mut self.waiting);
        for entry in entries {
            self.requeue(entry);
        }
    }

    /// Cache events: `added` and `removed` blocks. They are hints.
    pub fn update_cache(&mut self, added: &[u64], removed: &[u64], now: Duration) {
        self.prefix.remove(removed);
        self.prefix.insert(added, self.blocks(), now);
    }

    /// A gap in the cache events: nothing is known about the cache any more.
    pub fn clear_cache(&mut self) {
        self.prefix.clear();
    }

    /// Removes a request, wherever it is. For one at the engine, call this when the engine has confirmed the
    /// cancellation, because its slot and memory count as free from then on.
    pub fn cancel(&mut self, request: AttemptId, now: Duration) {
        self.finish(request, false, now);
    }

    /// Makes the target cold at once.
    pub fn mark_cold(&mut self, _now: Duration) {
        self.ramp.mark_cold();
    }

    /// A prefill piece other than the last is done; the rest is queued again.
    pub fn finish_chunk(&mut self, request: AttemptId, now: Duration) {
        let Ok(at) = self.find(request) else {
            return;
        };
        if self.flying[at].last {
            return;
        }
        let flight = self.flying.remove(at);
        if flight.is_prefilling() {
            self.observe_prefill(&flight, now);
        }
        let mut entry = flight.entry;
        entry.done = flight.to;
        self.requeue(entry);
    }

    /// Takes limits and the leaving flag from the target's record; `None` restores the setting. A target that comes
    /// back from leaving is cold.
    pub fn configure(&mut self, cold_limit: Option<u32>, memory: Option<Tokens>, leaving: bool) {
        let cold = cold_limit.unwrap_or(self.settings.cold_limit);
        self.ramp.set_cold(cold);
        self.memory = memory.unwrap_or(self.settings.memory);
        if self.leaving && !leaving {
            self.ramp.mark_cold();
        }
        self.leaving = leaving;
    }

    /// Removes and returns what is queued and was never sent to the engine.
    pub fn drain(&mut self, _now: Duration) -> Vec<AttemptId> {
        self.take(|entry| !entry.started)
    }

    /// Removes and returns everything that is queued, also what waits between two pieces. The memory of the latter
    /// counts as free, so the caller drops what the engine keeps of it.
    pub fn evict(&mut self, _now: Duration) -> Vec<AttemptId> {
        self.take(|_| true)
    }

    /// Removes and returns what is queued, between two pieces included, and past its deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<AttemptId> {
        self.take(|entry| entry.request.deadline <= now)
    }

    /// A request left the engine. Only a completed one lets a cold target's limit grow.
    pub fn finish(&mut self, request: AttemptId, completed: bool, now: Duration) {
        let Ok(at) = self.find(request) else {
            self.waiting.retain(|entry| entry.request.id != request);
            return;
        };
        let flight = self.flying.remove(at);
        if !completed || !flight.last {
            return;
        }
        self.observe_decode(&flight, now);
        self.ramp.complete(flight.entry.epoch);
        // The cache of an earlier boot, or a prefill through a handle, is not in the prefix cache.
        if flight.entry.done == 0 && flight.entry.boots == self.boots {
            let blocks = self.blocks();
            self.prefix
                .insert(&flight.entry.request.prefix, blocks, now);
        }
    }

    /// The first token of a request arrived: its prefill is done.
    pub fn record_first_token(&mut self, request: AttemptId, now: Duration) {
        let Ok(at) = self.find(request) else {
            return;
        };
        if !self.flying[at].is_prefilling() {
            return;
        }
        self.flying[at].first_token = Some(now);
        let flight = self.flying[at].clone();
        self.observe_prefill(&flight, now);
    }

    /// Load at the engine that this scheduler did not open; replaces the last reading.
    pub fn set_foreign_load(&mut self, streams: u32, memory: Tokens, _now: Duration) {
        self.foreign_memory = memory;
        self.foreign_streams = streams;
    }

    /// Reserves memory for a part of a gang, outside the reserve of short prompts. A repeat with the same request
    /// replaces the hold. Returns whether it is held. Only the pieces of the part take a slot, while they run.
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

    /// What to send to the engine now; call again until it returns `None`.
    pub fn next(&mut self, now: Duration) -> Option<Dispatch> {
        let pick = self.pick(now)?;
        let mut entry = self.waiting.remove(pick.index);
        if entry.done == 0 {
            entry.cached = self.cached(&entry.request);
            entry.epoch = self.ramp.epoch();
            entry.boots = self.boots;
        }
        let from = entry.done;
        let to = entry.end(self.chunk());
        let last = to == entry.request.prompt;
        let piece = entry.piece(to);
        let decode = if last { entry.request.max_tokens } else { 0 };
        self.shares
            .charge(entry.share, piece.saturating_add(decode), pick.floor);
        entry.placed = true;
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
        self.fly(Flight {
            cold: self.ramp.state() == State::Cold,
            entry,
            first_token: None,
            last,
            piece,
            sent: now,
            to,
        });
        Some(dispatch)
    }

    /// Queues a request, or refuses it; a refused one was not run.
    pub fn offer(&mut self, request: Request, now: Duration) -> Result<(), Refusal> {
        let share = self.shares.enter(&request.workspace, request.weight);
        let mut entry = self.entry(request, share, now);
        entry.sequence = self.sequence;
        self.admit(&entry, now)?;
        self.queue(entry);
        Ok(())
    }

    /// Takes the target's own word whether it is cold, as it stands on a reply.
    pub fn report_cold(&mut self, cold: bool, _now: Duration) {
        self.ramp.report(cold);
    }

    /// Ends a gang's hold.
    pub fn release(&mut self, request: AttemptId) {
        self.holds.retain(|hold| hold.0 != request);
    }

    /// Earliest deadline in the queue, when [`Scheduler::expire`] has something to remove.
    pub fn deadline(&self) -> Option<Duration> {
        self.waiting
            .iter()
            .map(|entry| entry.request.deadline)
            .min()
    }

    /// Requests at the engine, in the order of their ids.
    pub fn in_flight(&self) -> Vec<AttemptId> {
        self.flying.iter().map(Flight::request).collect()
    }

    /// What routing sees.
    pub fn load(&self, now: Duration) -> Load {
        let bounds = self.bounds();
        // The pieces of a gang's part are of medium length, but follow each other like those of a long prompt.
        let long = |entry: &Entry| match entry.class {
            Class::Long => true,
            Class::Medium => entry.request.held,
            Class::Short => false,
        };
        let waiting = self.waiting.iter().filter(|entry| long(entry)).count();
        let flying = self
            .flying
            .iter()
            .filter(|flight| long(&flight.entry) && flight.is_prefilling())
            .count();
        Load {
            backlog: self.backlog(now),
            capacity: self.capacity(Class::Long),
            free: self.memory.saturating_sub(bounds.usage.memory),
            full: self.waiting.len() >= self.settings.queue_limit,
            holdable: self.holdable(0),
            long: (waiting + flying) as u32,
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
        if self.waiting.is_empty() && self.flying.is_empty() && self.holds.is_empty() {
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

    /// Tokens of a prefill piece; `None` if prompts go out whole.
    pub(super) fn chunk(&self) -> Option<Tokens> {
        self.settings.chunking.then_some(self.settings.chunk)
    }

    /// A queue entry with its place in the order.
    pub(super) fn entry(&self, request: Request, share: usize, now: Duration) -> Entry {
        let mut entry = Entry {
            aged: now,
            arrival: now,
            boots: self.boots,
            cached: self.cached(&request),
            class: Class::of(request.prompt),
            done: 0,
            epoch: self.ramp.epoch(),
            request,
            key: 0,
            placed: false,
            sequence: 0,
            share,
            started: false,
        };
        let spare = entry
            .request
            .deadline
            .saturating_sub(now + self.service(&entry));
        entry.aged = now + spare / 2;
        entry.key = self.key(&entry);
        entry
    }

    pub(super) fn knows(&self, request: AttemptId) -> bool {
        self.find(request).is_ok() || self.waiting.iter().any(|entry| entry.request.id == request)
    }

    fn blocks(&self) -> usize {
        (self.memory / self.settings.block.max(1)) as usize
    }

    /// Tokens predicted to be cached; the last token of a prompt is always computed.
    fn cached(&self, request: &Request) -> Tokens {
        let known = self.prefix.leading(&request.prefix, self.settings.block);
        known.min(request.prompt.saturating_sub(1))
    }

    fn find(&self, request: AttemptId) -> Result<usize, usize> {
        self.flying.binary_search_by_key(&request, Flight::request)
    }

    fn fly(&mut self, flight: Flight) {
        if let Err(at) = self.find(flight.request()) {
            self.flying.insert(at, flight);
        }
    }

    /// Memory that a hold may have which has `own` so far.
    fn holdable(&self, own: Tokens) -> Tokens {
        let bounds = self.bounds();
        let usage = &bounds.usage;
        if self.leaving {
            return 0;
        }
        let others = usage.memory - usage.short_memory - own;
        let capacity = capacity(self.memory, &self.settings);
        let most = self.settings.holdable(capacity).saturating_sub(others);
        most.min(self.memory.saturating_sub(usage.memory - own))
    }

    /// Order in the queue. All keys fall behind `now` at the same pace, so that they stay valid while queued.
    fn key(&self, entry: &Entry) -> i64 {
        if !self.settings.slack {
            return 0;
        }
        let slack = micros(entry.request.deadline) - micros(self.service(entry));
        slack + (self.settings.ageing * entry.arrival.as_secs_f64() * 1e6) as i64
    }

    fn observe_decode(&mut self, flight: &Flight, now: Duration) {
        let Some(first) = flight.first_token else {
            return;
        };
        if !flight.cold {
            let tokens = flight.entry.request.max_tokens.saturating_sub(1);
            self.decode.observe(tokens, now.saturating_sub(first));
        }
    }

    /// An engine prefills one piece after another, so that a piece took the time since the one before it ended.
    fn observe_prefill(&mut self, flight: &Flight, now: Duration) {
        let since = self.prefilled.max(flight.sent);
        self.prefilled = now;
        if !flight.cold {
            self.prefill
                .observe(flight.piece, now.saturating_sub(since));
        }
    }

    fn queue(&mut self, mut entry: Entry) {
        entry.sequence = self.sequence;
        self.sequence += 1;
        if !self.waiting.iter().any(|other| other.share == entry.share) {
            self.shares.wake(entry.share);
        }
        let at = self
            .waiting
            .partition_point(|other| other.order() < entry.order());
        self.waiting.insert(at, entry);
    }

    /// Queues a request again; its progress is void if the engine restarted since its first piece.
    fn requeue(&mut self, mut entry: Entry) {
        if entry.boots != self.boots {
            entry.boots = self.boots;
            entry.cached = 0;
            entry.done = 0;
            entry.placed = false;
        }
        entry.key = self.key(&entry);
        self.queue(entry);
    }

    fn take(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<AttemptId> {
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
        for flight in &self.flying {
            usage.place(&flight.entry);
            usage.fly(flight);
        }
        for entry in self.waiting.iter().filter(|entry| entry.placed) {
            usage.place(entry);
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
