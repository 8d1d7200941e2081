use std::time::Duration;

use super::entry::Entry;
use super::running::Running;
use super::{Class, Refusal, Request, Scheduler, State};
use crate::error::Kind;
use crate::id::Tokens;

/// Work that is predicted to run before a request.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    requests: f64,
    /// Sum of the predicted service times, in seconds.
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
    /// Factor applied to predicted waits, because requests that arrive later with less slack run first.
    const WAIT_MARGIN: f64 = 1.25;
    /// Longest retry-after of a refusal.
    const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
    /// Shortest retry-after of a refusal.
    const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

    /// Checks whether a request may be queued.
    pub(super) fn admit(&self, entry: &Entry, now: Duration) -> Result<(), Refusal> {
        if self.leaving {
            return Err(refuse(Kind::Moved, Scheduler::RETRY_AFTER_MIN));
        }
        if self.contains(entry.request.id) {
            return Err(refuse(Kind::BadRequest, Duration::ZERO));
        }
        if entry.request.memory() > self.capacity(entry.class) {
            return Err(refuse(Kind::TooLarge, Duration::ZERO));
        }
        if self.is_full_for(entry.share) {
            return Err(refuse(Kind::Overloaded, retry_after(self.backlog(now))));
        }
        let wait = self
            .predicted_wait(entry, now)
            .mul_f64(Scheduler::WAIT_MARGIN);
        let finish = now + wait + self.service_time(entry);
        if finish <= entry.request.deadline {
            return Ok(());
        }
        let late = finish.saturating_sub(entry.request.deadline);
        Err(refuse(Kind::DeadlineRefused, retry_after(late)))
    }

    /// Predicted wait of a new short request.
    pub(super) fn backlog(&self, now: Duration) -> Duration {
        let request = Request {
            // A typical deadline: it only decides the position in the queue.
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
        self.predicted_wait(&entry, now)
    }

    /// Memory that a request of `class` may take on an empty target.
    pub(super) fn capacity(&self, class: Class) -> Tokens {
        self.settings.capacity(class, self.memory)
    }

    /// Predicted time at the engine: prefill of the remaining tokens, then decode.
    pub(super) fn service_time(&self, entry: &Entry) -> Duration {
        self.duration(self.service_seconds(entry.remaining(), entry.request.max_tokens))
    }

    /// Predicted seconds to prefill `tokens`.
    pub(super) fn prefill_seconds(&self, tokens: f64) -> f64 {
        tokens * self.slowdown() / self.prefill.tokens_per_second()
    }

    fn decode_seconds(&self, tokens: Tokens) -> f64 {
        tokens as f64 * self.slowdown() / self.decode.tokens_per_second()
    }

    /// Whether the workspace has reached its queue limit. With `slack`, one workspace cannot fill the whole queue.
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

    fn service_seconds(&self, prefill: Tokens, decode: Tokens) -> f64 {
        self.prefill_seconds(prefill as f64) + self.decode_seconds(decode)
    }

    fn slowdown(&self) -> f64 {
        match self.ramp.state() {
            State::Cold => self.settings.cold_slowdown.max(1.0),
            State::Gone | State::Leaving | State::Warm | State::Warming => 1.0,
        }
    }

    /// Converts predicted seconds; clamped, so that extreme prompt lengths cannot overflow.
    fn duration(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
    }

    /// Predicted time until the engine starts on the request.
    fn predicted_wait(&self, entry: &Entry, now: Duration) -> Duration {
        let ahead = self.work_ahead(entry);
        let bounds = self.bounds();
        let prefill = self.prefill_seconds(ahead.tokens + bounds.usage.prefill as f64);
        let slots = f64::from(bounds.slots.saturating_sub(bounds.fixed_slots)).max(1.0);
        let running = self.running.len() as f64;
        if running + ahead.requests < slots {
            return self.duration(prefill);
        }
        let rest: f64 = self
            .running
            .iter()
            .map(|request| self.remaining_seconds(request, now))
            .sum();
        self.duration(prefill.max((ahead.service + rest) / slots))
    }

    /// Predicted seconds until the engine finishes a running request.
    fn remaining_seconds(&self, running: &Running, now: Duration) -> f64 {
        let decode = if running.last {
            running.entry.request.max_tokens
        } else {
            0
        };
        let since = running.first_token.unwrap_or(running.sent);
        let total = match running.first_token {
            Some(_) => self.decode_seconds(decode),
            None => self.service_seconds(running.uncached, decode),
        };
        (total - now.saturating_sub(since).as_secs_f64()).max(0.0)
    }

    /// Work that is predicted to run before `entry`. With fair sharing, other workspaces get at most the share of
    /// their weight while this workspace is served, plus the fairness window if their requests have less slack.
    fn work_ahead(&self, entry: &Entry) -> Work {
        let mut waiting = vec![Work::default(); self.shares.len() + 1];
        let mut ahead = waiting.clone();
        let mut aged = Work::default();
        let own = entry.share.min(self.shares.len());
        for other in &self.waiting {
            let work = self.work(other);
            if other.order() < entry.order() {
                ahead[other.share].add(work, 1.0);
            } else if self.will_age(other, entry) {
                aged.add(work, 1.0);
                continue;
            }
            waiting[other.share].add(work, 1.0);
        }
        for running in self.running.iter().filter(|running| !running.last) {
            if self.will_age(&running.entry, entry) {
                aged.add(self.remaining_work(&running.entry, running.to), 1.0);
            }
        }
        let mut sum = ahead[own];
        let window = self.settings.prefill_limit as f64;
        let weight = f64::from(entry.request.weight.max(1));
        let tokens = sum.tokens + self.work(entry).tokens;
        for (share, work) in waiting.iter().enumerate() {
            if share == own || work.tokens <= 0.0 {
                continue;
            }
            if !self.settings.slack {
                sum.add(ahead[share], 1.0);
                continue;
            }
            let fair = tokens * self.shares.get(share).weight / weight;
            let tokens = work
                .tokens
                .min(fair.max(ahead[share].tokens.min(fair + window)));
            sum.add(*work, tokens / work.tokens);
        }
        let tokens = sum.tokens + self.work(entry).tokens;
        let interleaved = self.interleaved_tokens(tokens);
        sum.add(aged, interleaved / aged.tokens.max(interleaved).max(1.0));
        sum
    }

    /// Tokens of aged medium and long prompts that run while `tokens` tokens of short prompts are prefilled.
    fn interleaved_tokens(&self, tokens: f64) -> f64 {
        let reserve = self.settings.reserve_share.clamp(0.01, 1.0);
        tokens * (1.0 - reserve) / reserve
    }

    /// Whether `other`, although it has more slack now, ages before the deadline of `entry` and then takes all
    /// capacity but the reserve.
    fn will_age(&self, other: &Entry, entry: &Entry) -> bool {
        self.settings.slack && !other.is_short() && other.aged_at < entry.request.deadline
    }

    fn work(&self, entry: &Entry) -> Work {
        self.remaining_work(entry, entry.prefilled.max(entry.cached))
    }

    /// Work of a request that is prefilled up to token `prefilled`.
    fn remaining_work(&self, entry: &Entry, prefilled: Tokens) -> Work {
        let rest = entry.request.prompt.saturating_sub(prefilled);
        Work {
            requests: 1.0,
            service: self.service_seconds(rest, entry.request.max_tokens),
            tokens: rest as f64,
        }
    }
}

fn refuse(kind: Kind, retry_after: Duration) -> Refusal {
    Refusal { kind, retry_after }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(Scheduler::RETRY_AFTER_MIN, Scheduler::RETRY_AFTER_MAX)
}
