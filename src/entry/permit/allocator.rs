use std::net::SocketAddr;
use std::time::Duration;

use super::blocked::{keep, Blocked};
use super::returns::Returns;
use super::{Ask, Reply};
use crate::entry::queue::{Admission, FreeRate, Queue, Waiting};
use crate::entry::{
    place, short_set, Choice, Engine, Permit, Placement, Profile, Requirements, TargetKey,
};
use crate::id::{DomainId, Incarnation};

/// Maximum number of requests that wait at one allocator: more than can be served within any objective.
const CAPACITY: usize = 256;

/// Minimum time for which a granted slot counts as taken without a confirmation: several times the longest way of a
/// message.
const MIN_PERMIT_TIME: Duration = Duration::from_millis(300);

/// Longest way of a heartbeat, and the time by which a busy instance sends it late.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(150);

/// Time without a repeated ask after which a waiting request is dropped: its instance repeats it every 100 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a request with a short prompt occupies a slot, for the fair order of workspaces.
const SLOT_TIME: Duration = Duration::from_secs(2);

/// Minimum number of free slots in another domain for which requests are redirected to it. News of other domains is a
/// heartbeat old.
const MIN_FREE_ELSEWHERE: u32 = 4;

/// Passes of an engine until the first event: half of the one that runs when a prompt arrives, the one that prefills it,
/// and one for parts of other prompts that arrive later and are processed first.
const PASSES_TO_FIRST_EVENT: f64 = 2.5;

/// Reply to an ask for a service that the allocator does not know: its configuration may be older than the instance's.
const UNKNOWN_SERVICE: Reply = Reply::Refused { retry_ms: 1_000 };

/// Free slots of another domain's engines for short prompts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Room {
    /// Domain.
    pub domain: DomainId,
    /// Free slots.
    pub free: u32,
}

/// What the decision on one ask depends on.
#[derive(Clone, Debug)]
pub struct Known {
    /// Other domains.
    pub elsewhere: Vec<Room>,
    /// Usable engines of the allocator's domain with their load, without those that the ask excludes.
    pub engines: Vec<Engine>,
    /// Performance profile of the service's engines.
    pub profile: Profile,
}

impl Known {
    /// Time from the start of a request until its first event.
    pub(super) fn time_to_first_event(&self, prompt: u32) -> Duration {
        let passes = self.pass_time().mul_f64(PASSES_TO_FIRST_EVENT);
        passes + self.profile.prefill_time(prompt)
    }

    /// The same while an engine is kept for another request.
    fn without(mut self, kept: Option<TargetKey>) -> Known {
        let engines = self.engines.iter_mut();
        for engine in engines.filter(|engine| Some(engine.key) == kept) {
            engine.admits = false;
        }
        self
    }

    /// Mean time of a decode pass of the engines, with what runs there.
    fn pass_time(&self) -> Duration {
        let passes = self.engines.iter();
        let sum: Duration = passes.map(|engine| engine.pass_time(&self.profile)).sum();
        let count = u32::try_from(self.engines.len()).unwrap_or(u32::MAX);
        sum.checked_div(count)
            .unwrap_or_else(|| self.profile.pass_time())
    }
}

/// The engines of the allocator's domain.
pub trait Slots {
    /// What is known now for a decision on this ask; none if its service is not known.
    fn known(&self, ask: &Ask) -> Option<Known>;

    /// Time between two heartbeats of an instance.
    fn heartbeat_interval(&self) -> Duration;

    /// Adds a granted slot to the load of its engine.
    fn grant(&self, permit: Permit);
}

/// The instance and the process that asked, and the address for the reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Asker {
    /// Address.
    pub address: SocketAddr,
    /// Number of its process.
    pub incarnation: Incarnation,
}

/// A reply and where it goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answered {
    /// Recipient.
    pub asker: Asker,
    /// Number of the ask.
    pub number: u64,
    /// Reply.
    pub reply: Reply,
}

/// Grants the slots of a domain's engines, one request each.
#[derive(Debug)]
pub struct Allocator {
    /// Last number of a permit or of a request in the queue.
    next: u64,
    queue: Queue,
    random: fastrand::Rng,
    rate: FreeRate,
    returns: Returns,
    /// Running requests at the last decision.
    running: u32,
    /// Requests in the queue.
    waiting: Vec<Waiter>,
}

#[derive(Clone, Debug)]
struct Waiter {
    ask: Ask,
    asker: Asker,
    /// Engine that is kept for it, because it was due first and did not fit any while others did.
    kept: Option<TargetKey>,
    /// Number in the queue.
    number: u64,
    received: Duration,
    /// Time of the last repeated ask.
    repeated: Duration,
}

enum Decision {
    Elsewhere(DomainId),
    Full,
    Grant(Placement),
}

impl Allocator {
    /// An allocator that has granted nothing; `seed` decides between equal engines.
    pub fn new(seed: u64) -> Allocator {
        Allocator {
            // Numbers of two allocators, or of two processes of one, must differ: a late message about a permit of one
            // would end a permit of the other.
            next: fastrand::Rng::with_seed(!seed).u64(..) >> 1,
            queue: Queue::with_seed(CAPACITY, seed),
            random: fastrand::Rng::with_seed(seed),
            rate: FreeRate::default(),
            returns: Returns::default(),
            running: 0,
            waiting: Vec::new(),
        }
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on an ask: grants a slot, redirects, queues or refuses it.
    pub fn ask(
        &mut self,
        asker: Asker,
        ask: Ask,
        slots: &dyn Slots,
        now: Duration,
    ) -> Vec<Answered> {
        let answered = |reply| Answered {
            asker,
            number: ask.number,
            reply,
        };
        let is_known = |waiter: &&mut Waiter| {
            waiter.asker.incarnation == asker.incarnation && waiter.ask.number == ask.number
        };
        if let Some(waiter) = self.waiting.iter_mut().find(is_known) {
            waiter.repeated = now;
            return vec![answered(Reply::Queued)];
        }
        let Some(known) = slots.known(&ask) else {
            return vec![answered(UNKNOWN_SERVICE)];
        };
        let decision = self.decide(&ask, Duration::ZERO, &known);
        match &decision {
            // Requests that wait are due first.
            Decision::Grant(placement) if self.waiting.is_empty() => {
                let reply = self.grant(&ask, placement, slots, now);
                vec![answered(reply)]
            }
            Decision::Elsewhere(domain) => {
                let domain = domain.clone();
                vec![answered(Reply::Elsewhere { domain })]
            }
            Decision::Grant(_) | Decision::Full => {
                let mut answers = self.enqueue(asker, ask.clone(), &known, now);
                let own = answers.len() - 1;
                answers.extend(self.serve(slots, now));
                let is_refused = matches!(answers[own].reply, Reply::Refused { .. });
                if is_refused && matches!(decision, Decision::Grant(_)) {
                    let granted = self.pass(&ask, slots, now);
                    answers[own].reply = granted.unwrap_or_else(|| answers[own].reply.clone());
                }
                answers
            }
        }
    }

    /// Grants a slot that no waiting request can use to one that cannot wait.
    fn pass(&mut self, ask: &Ask, slots: &dyn Slots, now: Duration) -> Option<Reply> {
        let head = self.queue.head().map(|head| head.number);
        let kept = head.and_then(|number| self.waiter(number)?.kept);
        let known = slots.known(ask)?.without(kept);
        match self.decide(ask, Duration::ZERO, &known) {
            Decision::Grant(placement) => Some(self.grant(ask, &placement, slots, now)),
            Decision::Elsewhere(_) | Decision::Full => None,
        }
    }

    /// Records that a slot became free, and grants it to the request that is due first.
    pub fn free(&mut self, slots: &dyn Slots, now: Duration) -> Vec<Answered> {
        self.rate.record(1, now);
        self.serve(slots, now)
    }

    /// Removes a request from the queue, because its caller left or its instance placed it otherwise.
    pub fn cancel(&mut self, asker: Asker, number: u64) {
        let found = self.waiting.iter().position(|waiter| {
            waiter.asker.incarnation == asker.incarnation && waiter.ask.number == number
        });
        if let Some(at) = found {
            let waiter = self.waiting.remove(at);
            self.queue.remove(waiter.number, false);
        }
    }

    /// Refuses requests that cannot start in time any more, drops those whose instances do not repeat them, and grants
    /// what is free.
    pub fn tick(&mut self, slots: &dyn Slots, now: Duration) -> Vec<Answered> {
        let is_lost = |waiter: &Waiter| now >= waiter.repeated.saturating_add(ASK_TIMEOUT);
        for waiter in self.waiting.extract_if(.., |waiter| is_lost(waiter)) {
            self.queue.remove(waiter.number, false);
        }
        self.serve(slots, now)
    }

    /// Refuses requests that cannot start in time any more, then grants what is free: the first of the queue depends on
    /// the time.
    fn serve(&mut self, slots: &dyn Slots, now: Duration) -> Vec<Answered> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let rate = self.rate.per_s(self.running, now);
        let expired = self.queue.expire(rate, now);
        let mut answers = self.refuse(expired, rate, now);
        answers.extend(self.drain(slots, now));
        answers
    }

    /// Grants free slots to the requests that are due first, then to others that fit where the first one does not.
    fn drain(&mut self, slots: &dyn Slots, now: Duration) -> Vec<Answered> {
        let mut answers = Vec::new();
        let mut blocked = Blocked::default();
        while let Some(number) = self.queue.head().map(|head| head.number) {
            if !self.settle(number, None, &mut blocked, &mut answers, slots, now) {
                answers.extend(self.drain_others(number, blocked, slots, now));
                break;
            }
        }
        answers
    }

    /// Grants free slots to the requests behind the blocked one that is due first. That one keeps its place, and one
    /// engine is kept for it: small requests that always find room would otherwise never leave enough for a large one.
    fn drain_others(
        &mut self,
        first: u64,
        mut blocked: Blocked,
        slots: &dyn Slots,
        now: Duration,
    ) -> Vec<Answered> {
        let mut answers = Vec::new();
        let kept = self.waiter(first).and_then(|waiter| waiter.kept);
        let others: Vec<u64> = self.queue.order().skip(1).collect();
        for number in others {
            if blocked.is_done() {
                break;
            }
            let is_blocked = |waiter: &Waiter| blocked.includes(&waiter.ask);
            if self.waiter(number).is_none_or(|waiter| !is_blocked(waiter)) {
                self.settle(number, kept, &mut blocked, &mut answers, slots, now);
            }
        }
        answers
    }

    /// Decides on a waiting request while `kept` is kept for another one. False if it does not fit and goes on waiting.
    fn settle(
        &mut self,
        number: u64,
        kept: Option<TargetKey>,
        blocked: &mut Blocked,
        answers: &mut Vec<Answered>,
        slots: &dyn Slots,
        now: Duration,
    ) -> bool {
        let Some(waiter) = self.waiter(number).cloned() else {
            self.queue.remove(number, false);
            return true;
        };
        let age = now.saturating_sub(waiter.received);
        let reply = match slots.known(&waiter.ask).map(|known| known.without(kept)) {
            Some(known) => match self.decide(&waiter.ask, age, &known) {
                Decision::Grant(placement) => self.grant(&waiter.ask, &placement, slots, now),
                Decision::Elsewhere(domain) => Reply::Elsewhere { domain },
                Decision::Full => {
                    let is_first = blocked.is_empty();
                    if blocked.add(&waiter.ask, age, &known) && is_first {
                        self.keep(number, &known);
                    }
                    return false;
                }
            },
            None => UNKNOWN_SERVICE,
        };
        let is_served = matches!(reply, Reply::Grant { .. });
        self.queue.remove(number, is_served);
        answers.extend(self.answer(number, reply));
        true
    }

    /// Keeps an engine for a blocked request.
    fn keep(&mut self, number: u64, known: &Known) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(waiter) = waiting.find(|waiter| waiter.number == number) {
            waiter.kept = keep(waiter.kept, &waiter.ask, known);
        }
    }

    fn waiter(&self, number: u64) -> Option<&Waiter> {
        let mut waiting = self.waiting.iter();
        waiting.find(|waiter| waiter.number == number)
    }

    /// The decision on an ask that was received `age` ago.
    fn decide(&mut self, ask: &Ask, age: Duration, known: &Known) -> Decision {
        let requirements = Requirements {
            deadline: ask.left().saturating_sub(age),
            gap: Duration::from_millis(u64::from(ask.gap_ms)),
            objective: ask.objective().saturating_sub(age),
            permits: true,
            prompt: ask.prompt,
            tokens: ask.tokens,
            ..Requirements::default()
        };
        let running = known.engines.iter().map(|engine| engine.load.running);
        self.running = running.fold(0, u32::saturating_add);
        let seed = self.random.u64(..);
        let choice = place(&requirements, &known.profile, &known.engines, seed);
        let placement = match choice {
            Choice::Place(placement) => Some(placement),
            Choice::Hold(_) | Choice::Keep | Choice::Refuse | Choice::Wait => None,
        };
        let is_preferred = placement.as_ref().is_some_and(|placement| {
            let preferred = short_set(&requirements, &known.profile, &known.engines);
            preferred.contains(&placement.primary.key())
        });
        // The engines for long prompts are used only while no other domain has free ones for short prompts.
        if !is_preferred && !ask.redirected {
            let room = known.elsewhere.iter().max_by_key(|room| room.free);
            if let Some(room) = room.filter(|room| room.free >= MIN_FREE_ELSEWHERE) {
                return Decision::Elsewhere(room.domain.clone());
            }
        }
        placement.map_or(Decision::Full, Decision::Grant)
    }

    fn grant(
        &mut self,
        ask: &Ask,
        placement: &Placement,
        slots: &dyn Slots,
        now: Duration,
    ) -> Reply {
        let permit = self.number();
        let target: TargetKey = placement.primary.key();
        slots.grant(Permit {
            expires: now.saturating_add(permit_time(slots.heartbeat_interval())),
            gap: Duration::from_millis(u64::from(ask.gap_ms)),
            number: permit,
            part_time: placement.part_time,
            start: now,
            target,
            tokens: placement.primary_tokens,
        });
        Reply::Grant {
            permit,
            target,
            wait_ms: millis(placement.wait),
        }
    }

    /// Queues an ask or refuses it; refuses those that it displaces.
    fn enqueue(&mut self, asker: Asker, ask: Ask, known: &Known, now: Duration) -> Vec<Answered> {
        let number = self.number();
        let to_first_event = known.time_to_first_event(ask.prompt);
        let waiting = Waiting {
            arrival: now,
            cost: SLOT_TIME,
            latest_start: now + ask.objective().saturating_sub(to_first_event),
            leaves: now + ask.left(),
            number,
            priority: ask.priority,
            resumes: ask.resumes,
            workspace: ask.workspace,
        };
        let rate = self.rate.per_s(self.running, now);
        let (admission, displaced) = self.queue.offer(waiting, rate, now);
        let mut answers = self.refuse(displaced, rate, now);
        let reply = match admission {
            Admission::Queued => Reply::Queued,
            Admission::Refused { retry } => Reply::Refused {
                retry_ms: millis(self.retry(retry, rate, now)),
            },
        };
        answers.push(Answered {
            asker,
            number: ask.number,
            reply,
        });
        if admission == Admission::Queued {
            self.waiting.push(Waiter {
                ask,
                asker,
                kept: None,
                number,
                received: now,
                repeated: now,
            });
        }
        answers
    }

    fn refuse(
        &mut self,
        removed: Vec<(Waiting, Duration)>,
        rate: f64,
        now: Duration,
    ) -> Vec<Answered> {
        let refused = removed.into_iter().filter_map(|(waiting, retry)| {
            let retry_ms = millis(self.retry(retry, rate, now));
            self.answer(waiting.number, Reply::Refused { retry_ms })
        });
        refused.collect()
    }

    /// Time after which a refused caller returns: not before the queue expects a slot for it, nor with all others.
    fn retry(&mut self, least: Duration, rate: f64, now: Duration) -> Duration {
        let random = self.random.f64();
        least.max(self.returns.next(rate, random, now))
    }

    /// The final reply to a request that waited.
    fn answer(&mut self, number: u64, reply: Reply) -> Option<Answered> {
        let found = self
            .waiting
            .iter()
            .position(|waiter| waiter.number == number);
        let waiter = self.waiting.remove(found?);
        Some(Answered {
            asker: waiter.asker,
            number: waiter.ask.number,
            reply,
        })
    }

    fn number(&mut self) -> u64 {
        self.next = self.next.saturating_add(1);
        self.next
    }
}

/// Time for which a granted slot counts as taken without a confirmation. If the update that reports the start is lost, the
/// next heartbeat reports it, and the slot must not be granted again before.
fn permit_time(heartbeat_interval: Duration) -> Duration {
    MIN_PERMIT_TIME.max(heartbeat_interval.saturating_add(HEARTBEAT_DELAY))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
