use std::time::Duration;

use smol::Timer;

use super::outcome::GivenUp;
use super::permit::Permission;
use super::{
    Admission, Exchange, InFlight, RouteKind, PLACEMENT_INTERVAL, RETRY_AFTER,
    RETRY_AFTER_UNAVAILABLE,
};
use crate::entry::proof::Guards;
use crate::entry::{
    peer, pick, place, survey, unseen_requests, Choice, Engine, Placement, Requirements, TargetKey,
    Work,
};
use crate::error::Kind;
use crate::event;
use crate::id::Tokens;

/// Time within which a choice of engines becomes known to all instances: several times the latency between two domains.
pub(super) const CLAIM_DELAY: Duration = Duration::from_millis(10);

/// Divisor of the objective: the maximum time for which a request without a stream waits for a placement.
const QUEUE_DIVISOR: u32 = 2;

/// Tokens as an engine counts them. A prompt beyond any engine's memory stays one.
pub(super) fn saturate(tokens: Tokens) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Lets only the engines with the least work admit a trial, since it may crash its engine: those that prefill nothing,
/// and of these the ones with the fewest requests.
fn keep_least_loaded(engines: &mut [Engine]) {
    let work = |engine: &Engine| {
        let prefill = engine.load.backlog + engine.load.background;
        (!prefill.is_zero(), engine.load.running)
    };
    let admitting = engines.iter().filter(|engine| engine.admits);
    let least = admitting.map(work).min();
    for engine in engines {
        engine.admits &= Some(work(engine)) == least;
    }
}

impl Exchange {
    /// Finds a placement, waiting for one if necessary. How long depends on the kind of route.
    pub(super) async fn find_placement(&self) -> Result<(Placement, InFlight), GivenUp> {
        let instance = &self.instance;
        let since = instance.clock.now();
        if self.hold_time().is_none() && self.needs_permit() {
            match self.request_permit().await {
                Permission::Granted(placement, in_flight) => return Ok((placement, in_flight)),
                Permission::Refused(given_up) => return Err(given_up),
                Permission::Unavailable => {}
            }
        }
        let max_wait = match self.route.kind {
            // A caller that already has events cannot be told to retry.
            RouteKind::Stream { .. } if self.resumes => self.time_left(),
            RouteKind::Stream { .. } => self
                .time_left_to_start(instance.clock.now())
                .min(self.route.objective),
            RouteKind::Once | RouteKind::Repeatable => {
                (self.route.objective / QUEUE_DIVISOR).min(self.time_left() / 4)
            }
        };
        let until = since + max_wait;
        let mut hold = None;
        let mut admission = Admission::new(self);
        loop {
            let choice = match (self.hold_time(), &hold) {
                (Some(_), _) => Choice::Wait,
                (None, Some(held)) => self.choose_held(held),
                (None, None) => self.choose(until.saturating_sub(instance.clock.now())),
            };
            match choice {
                Choice::Place(placement) if hold.is_some() => {
                    // The engines are this request's already, so no claim of them precedes it.
                    let in_flight = self.start(&placement, false, 0);
                    return Ok((placement, in_flight));
                }
                Choice::Place(placement) => {
                    admission.withdraw();
                    if let Some(in_flight) = self.claim(&placement).await {
                        return Ok((placement, in_flight));
                    }
                }
                // What is held is about to be free.
                Choice::Keep => {}
                Choice::Refuse => break,
                Choice::Hold(_) | Choice::Wait if instance.clock.now() >= until => break,
                Choice::Hold(placement) if self.may_hold() => {
                    admission.withdraw();
                    hold = Some(self.hold(&placement));
                }
                Choice::Hold(_) => admission.announce(instance),
                // Without the hold, a placement may be possible at once.
                Choice::Wait if hold.is_some() => hold = None,
                Choice::Wait => {
                    let left = until.saturating_sub(instance.clock.now());
                    if let Some(given_up) = admission.wait(self, left) {
                        return Err(given_up);
                    }
                }
            }
            Timer::after(PLACEMENT_INTERVAL).await;
        }
        self.log_no_place(since);
        let wait = self
            .hold_time()
            .or_else(|| instance.pause_left(&self.service));
        let (kind, retry) = match wait {
            // Callers that return at the same time would find one target, or one trial.
            Some(left) => (Kind::Overloaded, left.mul_f64(1.0 + fastrand::f64() / 2.0)),
            None if !instance.engines(&self.service, &[], true).is_empty() => {
                let retry = admission.retry(self).unwrap_or(RETRY_AFTER);
                (Kind::Overloaded, retry)
            }
            None => (Kind::Unavailable, RETRY_AFTER_UNAVAILABLE),
        };
        // An earlier send may have run, so the error must not report that the request was not run.
        let kind = if self.ran.is_empty() {
            kind
        } else {
            Kind::UpstreamFailed
        };
        Err(GivenUp {
            answered: None,
            kind,
            retry: self.ran.is_empty().then_some(retry),
        })
    }

    /// Logs that a request which waited from `since` found no target, with what the choice depends on.
    fn log_no_place(&self, since: Duration) {
        let instance = &self.instance;
        let now = instance.clock.now();
        let engines = instance.engines(&self.service, &[], true);
        let full = |engine: &Engine| engine.load.running >= engine.target.slots;
        let idle = |engine: &Engine| (engine.backlog() + engine.background()).is_zero();
        let prompt = self.request.prompt.unwrap_or_default().tokens;
        let profile = self.service.profile.as_ref();
        // Without those that are suspected, which get a request only if no other is left.
        let reachable = instance.engines(&self.service, &[], false);
        let requirements = self.requirements(&reachable, now);
        let survey = profile.map(|profile| survey(&requirements, profile, &reachable));
        let survey = survey.unwrap_or_default();
        event!(
            instance.source,
            "no_place",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            version = instance.config().map(|config| config.version),
            waited_ms = (now - since).as_millis() as u64,
            held_ms = self.hold_time().map(|left| left.as_millis() as u64),
            prompt = prompt,
            prefill_ms =
                profile.map(|profile| profile.prefill_time(saturate(prompt)).as_millis() as u64),
            left_ms = self.time_left_to_start(now).as_millis() as u64,
            targets = engines.len(),
            reachable = reachable.len(),
            long = survey.long,
            long_free = survey.free,
            long_room = survey.with_room,
            full = engines.iter().filter(|engine| full(engine)).count(),
            idle = engines.iter().filter(|engine| idle(engine)).count(),
            least_backlog_ms = engines
                .iter()
                .map(|engine| engine.load.backlog.as_millis() as u64)
                .min(),
            running = engines
                .iter()
                .map(|engine| u64::from(engine.load.running))
                .sum::<u64>()
        );
    }

    /// Adds the request to the view with its rank among conflicting claims; `held` if it is not sent yet.
    pub(super) fn start(&self, placement: &Placement, held: bool, rank: u32) -> InFlight {
        self.start_with(placement, held, rank, 0)
    }

    /// Adds a request to the view that has a permit.
    pub(super) fn start_permitted(&self, placement: &Placement, permit: u64) -> InFlight {
        self.start_with(placement, false, 0, permit)
    }

    fn start_with(&self, placement: &Placement, held: bool, rank: u32, permit: u64) -> InFlight {
        let instance = &self.instance;
        let helpers = placement.helpers.iter();
        let number = instance.view.borrow_mut().start(Work {
            background: placement.background,
            gap: self.route.gap,
            held,
            helpers: helpers
                .map(|helper| (helper.target.key(), helper.reserved))
                .collect(),
            part_time: placement.part_time,
            primary: placement.primary.key(),
            rank,
            short: placement.short,
            start: instance.clock.now(),
            tokens: placement.primary_tokens,
        });
        if !held {
            instance.announce_start(placement.primary.key(), number, permit);
        }
        InFlight {
            instance: instance.clone(),
            number,
            memory: None,
        }
    }

    /// Announces the placement to other instances; none if it has to be withdrawn in favor of another instance's. All
    /// instances that wait for an engine learn at the same time that it is free, and parts that arrive together there
    /// delay each other.
    async fn claim(&self, placement: &Placement) -> Option<InFlight> {
        let instance = &self.instance;
        let in_flight = self.start(placement, false, fastrand::u32(..));
        if placement.short || placement.part_time.is_zero() {
            return Some(in_flight);
        }
        instance.request_heartbeat();
        Timer::after(CLAIM_DELAY).await;
        if !instance
            .view
            .borrow()
            .gives_way(in_flight.number, CLAIM_DELAY)
        {
            return Some(in_flight);
        }
        event!(
            instance.source,
            "gave_way",
            request = self.request.id.as_str(),
            target = placement.primary.id.as_str(),
            part_ms = placement.part_time.as_millis() as u64
        );
        drop(in_flight);
        instance.request_heartbeat();
        None
    }

    /// Targets that must not get the request again.
    fn excluded(&self) -> &[TargetKey] {
        match Guards::default().allow_resend(self.route.kind.is_repeatable()) {
            true => &[],
            false => &self.refused,
        }
    }

    /// Chooses targets for a request that waits for `max_wait` at most.
    fn choose(&self, max_wait: Duration) -> Choice {
        let instance = &self.instance;
        let mut engines = instance.engines(&self.service, &self.tried, false);
        if engines.is_empty() {
            engines = instance.engines(&self.service, self.excluded(), true);
        }
        if engines.is_empty() {
            let pause = instance.pause_left(&self.service);
            if pause.is_some_and(|left| left > max_wait) || !self.excluded().is_empty() {
                return Choice::Refuse;
            }
        }
        if self.resumes && !self.may_use_another() {
            engines = instance.engines(&self.service, &[], false);
            // The others may still read parts of the prompt.
            for engine in &mut engines {
                engine.admits &= self.ran.contains(&engine.key);
            }
            if !engines.iter().any(|engine| engine.admits) {
                return Choice::Refuse;
            }
        }
        self.pass_over_full(&mut engines);
        if self.is_trial() {
            keep_least_loaded(&mut engines);
        }
        let now = instance.clock.now();
        let seed = fastrand::u64(..);
        let Some(profile) = &self.service.profile else {
            let Some(primary) = pick(&engines, seed) else {
                return Choice::Wait;
            };
            return Choice::Place(Placement {
                background: false,
                helpers: Vec::new(),
                part_time: Duration::ZERO,
                primary,
                primary_tokens: 0,
                short: false,
                wait: self.route.objective,
            });
        };
        place(&self.requirements(&engines, now), profile, &engines, seed)
    }

    /// Lets a request with a body pass over targets that have not answered many bytes of other bodies from this instance,
    /// unless all usable ones have.
    fn pass_over_full(&self, engines: &mut [Engine]) {
        let instance = &self.instance;
        let max_bytes = instance.settings.borrow().held_target_bytes;
        let Some(max_bytes) = max_bytes.filter(|_| !self.request.body.is_empty()) else {
            return;
        };
        let has_room = |engine: &Engine| instance.uploads.bytes(engine.key) <= max_bytes;
        if !engines
            .iter()
            .any(|engine| engine.admits && has_room(engine))
        {
            return;
        }
        for engine in engines {
            engine.admits &= has_room(engine);
        }
    }

    /// What the request needs at `now` from one or more of `engines`.
    pub(super) fn requirements(&self, engines: &[Engine], now: Duration) -> Requirements {
        let prompt = self.request.prompt.unwrap_or_default();
        let running = engines.iter().map(|engine| engine.load.short);
        let short = running.fold(0, u32::saturating_add);
        Requirements {
            deadline: self.time_left_to_start(now),
            gap: self.route.gap,
            objective: (self.arrival + self.route.objective).saturating_sub(now),
            permits: self.instance.uses_permits(),
            prompt: saturate(prompt.tokens),
            tokens: saturate(prompt.tokens.saturating_add(prompt.max_tokens)),
            unseen: unseen_requests(short, peer::interval(&self.instance)),
        }
    }
}
