use std::time::Duration;

use super::entry::Entry;
use super::{Class, Refusal, Request, Scheduler, State};
use crate::error::Kind;
use crate::id::Tokens;

/// Work in front of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    requests: f64,
    /// Sum of predicted times at the engine.
    service: f64,
    tokens: f64,
}

impl Work {
    fn add(&mut self, other: Work, factor: f64) {
        self.requests += other.requests * factor;
        self.service += other.service * factor;
        self.tokens += other.tokens * factor;
    }
}

impl Scheduler {
    /// Factor on predicted waits: requests that arrive later and have less slack go first.
    const MARGIN: f64 = 1.25;
    /// Bounds of a retry-after.
    const RETRY_MAX: Duration = Duration::from_secs(60);
    const RETRY_MIN: Duration = Duration::from_millis(100);

    /// Refuses a request that may not wait here.
    pub(super) fn admit(&self, entry: &Entry, now: Duration) -> Result<(), Refusal> {
        if self.leaving {
            return Err(refuse(Kind::Moved, Scheduler::RETRY_MIN));
        }
        if self.knows(entry.request.id) {
            return Err(refuse(Kind::BadRequest, Duration::ZERO));
        }
        if entry.request.memory() > self.capacity(entry.class) {
            return Err(refuse(Kind::TooLarge, Duration::ZERO));
        }
        if self.is_full_for(entry.share) {
            return Err(refuse(Kind::Overloaded, retry(self.backlog(now))));
        }
        let wait = self.wait(entry, now).mul_f64(Scheduler::MARGIN);
        let finish = now + wait + self.service(entry);
        if finish <= entry.request.deadline {
            return Ok(());
        }
        let late = finish.saturating_sub(entry.request.deadline);
        Err(refuse(Kind::DeadlineRefused, retry(late)))
    }

    /// Predicted wait of a new short request.
    pub(super) fn backlog(&self, now: Duration) -> Duration {
        let request = Request {
            // A typical deadline places the request in the queue; only the order depends on it.
            deadline: now + Duration::from_secs(10),
            held: false,
            id: 0,
            max_tokens: 1,
            prefix: Vec::new(),
            prompt: 1,
            weight: 1,
            workspace: String::new(),
        };
        let mut entry = self.entry(request, usize::MAX, now);
        entry.sequence = u64::MAX;
        self.wait(&entry, now)
    }

    /// Memory that a request of `class` may take when nothing else is there.
    pub(super) fn capacity(&self, class: Class) -> Tokens {
        self.settings.capacity(class, self.memory)
    }

    /// Predicted time at the engine: prefill of the rest and decode.
    pub(super) fn service(&self, entry: &Entry) -> Duration {
        self.time(self.service_of(entry.rest(), entry.request.max_tokens))
    }

    /// Seconds of the prefill of `tokens`.
    pub(super) fn prefill_seconds(&self, tokens: f64) -> f64 {
        tokens * self.slowdown() / self.prefill.get()
    }

    fn decode_seconds(&self, tokens: Tokens) -> f64 {
        tokens as f64 * self.slowdown() / self.decode.get()
    }

    /// Whether the workspace may not queue more. With `slack` one workspace cannot fill the queue of all.
    fn is_full_for(&self, share: usize) -> bool {
        let limit = self.settings.queue_limit;
        if self.waiting.len() >= limit {
            return true;
        }
        if !self.settings.slack {
            return false;
        }
        let own = self.waiting.iter().filter(|entry| entry.share == share);
        own.count() >= ((limit as f64 * self.settings.queue_share) as usize).max(1)
    }

    fn service_of(&self, prefill: Tokens, decode: Tokens) -> f64 {
        self.prefill_seconds(prefill as f64) + self.decode_seconds(decode)
    }

    fn slowdown(&self) -> f64 {
        match self.ramp.state() {
            State::Cold => self.settings.cold_slowdown.max(1.0),
            State::Gone | State::Leaving | State::Warm | State::Warming => 1.0,
        }
    }

    /// Bounded, so that absurd lengths cannot overflow.
    fn time(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
    }

    /// Predicted time until the request starts.
    fn wait(&self, entry: &Entry, now: Duration) -> Duration {
        let ahead = self.ahead(entry);
        let bounds = self.bounds();
        let prefill = self.prefill_seconds(ahead.tokens + bounds.usage.prefill as f64);
        let slots = f64::from(bounds.slots.saturating_sub(bounds.fixed_slots)).max(1.0);
        let running = self.flying.len() as f64;
        if running + ahead.requests < slots {
            return self.time(prefill);
        }
        let rest: f64 = self
            .flying
            .iter()
            .map(|flight| self.rest(flight, now))
            .sum();
        self.time(prefill.max((ahead.service + rest) / slots))
    }

    /// Predicted seconds until a request at the engine ends.
    fn rest(&self, flight: &super::flight::Flight, now: Duration) -> f64 {
        let decode = if flight.last {
            flight.entry.request.max_tokens
        } else {
            0
        };
        let since = flight.first_token.unwrap_or(flight.sent);
        let total = match flight.first_token {
            Some(_) => self.decode_seconds(decode),
            None => self.service_of(flight.piece, decode),
        };
        (total - now.saturating_sub(since).as_secs_f64()).max(0.0)
    }

    /// Work that is predicted to go first. With fair sharing, other workspaces get at most what their weight gives
    /// them while this one is served, plus the fairness window if their requests have less slack.
    fn ahead(&self, entry: &Entry) -> Work {
        let mut all = vec![Work::default(); self.shares.len() + 1];
        let mut first = all.clone();
        let mut aged = Work::default();
        let own = entry.share.min(self.shares.len());
        for other in &self.waiting {
            let work = self.work(other);
            if other.order() < entry.order() {
                first[other.share].add(work, 1.0);
            } else if self.will_age(other, entry) {
                aged.add(work, 1.0);
                continue;
            }
            all[other.share].add(work, 1.0);
        }
        for flight in self.flying.iter().filter(|flight| !flight.last) {
            if self.will_age(&flight.entry, entry) {
                aged.add(self.work_after(&flight.entry, flight.to), 1.0);
            }
        }
        let mut sum = first[own];
        let window = self.settings.prefill_limit as f64;
        let weight = f64::from(entry.request.weight.max(1));
        let tokens = sum.tokens + self.work(entry).tokens;
        for (share, work) in all.iter().enumerate() {
            if share == own || work.tokens <= 0.0 {
                continue;
            }
            if !self.settings.slack {
                sum.add(first[share], 1.0);
                continue;
            }
            let fair = tokens * self.shares.get(share).weight / weight;
            let tokens = work
                .tokens
                .min(fair.max(first[share].tokens.min(fair + window)));
            sum.add(*work, tokens / work.tokens);
        }
        let tokens = sum.tokens + self.work(entry).tokens;
        sum.add(
            aged,
            self.passing(tokens) / aged.tokens.max(self.passing(tokens)).max(1.0),
        );
        sum
    }

    /// Tokens of aged longer prompts that go between `tokens` tokens of short ones.
    fn passing(&self, tokens: f64) -> f64 {
        let reserved = self.settings.reserve_share.clamp(0.01, 1.0);
        tokens * (1.0 - reserved) / reserved
    }

    /// Whether `other` has more slack now, but is aged and takes all but the reserve before `entry` has to end.
    fn will_age(&self, other: &Entry, entry: &Entry) -> bool {
        self.settings.slack && !other.is_short() && other.aged < entry.request.deadline
    }

    fn work(&self, entry: &Entry) -> Work {
        self.work_after(entry, entry.done.max(entry.cached))
    }

    /// Work of a request that is prefilled up to `done`.
    fn work_after(&self, entry: &Entry, done: Tokens) -> Work {
        let rest = entry.request.prompt.saturating_sub(done);
        Work {
            requests: 1.0,
            service: self.service_of(rest, entry.request.max_tokens),
            tokens: rest as f64,
        }
    }
}

fn refuse(kind: Kind, retry_after: Duration) -> Refusal {
    Refusal { kind, retry_after }
}

fn retry(wait: Duration) -> Duration {
    wait.clamp(Scheduler::RETRY_MIN, Scheduler::RETRY_MAX)
}
