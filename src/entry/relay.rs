use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future::or;
use smol::Timer;

use super::config::RouteKind;
use super::platform::{Body, Failure};
use super::reservation::{lost, Loss};
use super::serve::{Exchange, InFlight, Opened, Opening, RETRY_INTERVAL, SILENCE_SHARE};
use super::Events;
use crate::event;

/// Time without an event after which the target is probed by a new connection: several passes of an engine.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// A stream to a caller; continues at another target if its own one fails.
pub struct Relay {
    body: Box<dyn Body>,
    ended: bool,
    events: Events,
    exchange: Exchange,
    first_events: Option<Bytes>,
    /// Whether the target wrote on after the first events.
    has_progress: bool,
    /// None while the stream waits to be resumed.
    in_flight: Option<InFlight>,
    /// Whether the target has been silent for so long that another one is asked.
    is_silent: bool,
    last_events: Option<Duration>,
    /// Gets the reason if memory of the request is lost; none if it has no memory, or if the reason is known.
    loss: Option<Receiver<Loss>>,
    resumable: bool,
    target: Rc<super::Target>,
}

enum Step {
    Broken(Failure),
    Bytes(Bytes),
    End,
    /// The target is silent, or cannot be reached by a new connection. It may go on.
    Silent(Failure),
}

/// What comes first while another target is asked to continue a stream.
enum Race {
    Opened(Opening),
    Read(Step),
}

/// Reads a part of the stream; empty if it completes no event.
async fn read(body: &mut dyn Body, events: &mut Events) -> Step {
    match body.next().await {
        Some(Ok(bytes)) => match events.push(&bytes) {
            Ok(events) => Step::Bytes(events),
            Err(failure) => Step::Broken(failure),
        },
        Some(Err(failure)) => Step::Broken(failure),
        None if events.is_whole() => Step::End,
        None => Step::Broken(Failure::Broken),
    }
}

/// Waits until memory of the stream is lost; forever if it has none.
async fn memory_lost(loss: Option<&Receiver<Loss>>, in_flight: Option<&InFlight>) -> Step {
    match lost(loss).await {
        // The engines end the request if the memory has expired there too.
        Loss::Expired => {
            in_flight.inspect(|in_flight| in_flight.leave_view());
            Step::Silent(Failure::Silent)
        }
        Loss::Unused => Step::Broken(Failure::Silent),
        Loss::TargetGone => Step::Broken(Failure::Unreachable),
    }
}

impl Relay {
    /// Time for which the caller may stop reading. A caller whose link is cut cannot be told from one that does not read,
    /// so it gets no more than the minimum while engines keep memory for it: that has to be free soon after it has left.
    pub fn max_pause(&self) -> Duration {
        match self.loss {
            Some(_) => Duration::ZERO,
            None => self.exchange.route.max_pause(),
        }
    }

    /// A stream whose first events have arrived.
    pub(super) fn new(mut exchange: Exchange, opened: Opened) -> Relay {
        exchange.begin_stream(&opened.headers);
        let resumable = exchange.route.kind == RouteKind::Stream { resumable: true };
        Relay {
            body: opened.body,
            ended: false,
            events: opened.events,
            exchange,
            first_events: Some(opened.first),
            has_progress: false,
            is_silent: false,
            last_events: None,
            loss: opened.in_flight.loss(),
            in_flight: Some(opened.in_flight),
            resumable,
            target: opened.target,
        }
    }

    /// The next complete events; none after the end of the stream.
    ///
    /// # Errors
    /// Fails if the stream broke and cannot be continued; the caller must be able to see that it is incomplete.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        if let Some(first_events) = self.first_events.take().filter(|events| !events.is_empty()) {
            return Some(Ok(first_events));
        }
        let now = self.exchange.instance.clock.now();
        let (last, target) = (self.events.last(), self.target.clone());
        self.exchange.late.record_poll(last, now);
        loop {
            if self.ended {
                return None;
            }
            let mut step = self.step().await;
            if let Step::Silent(failure) = step {
                step = match self.resumable {
                    true => self.seek(failure).await,
                    false => continue,
                };
            }
            if let Step::Broken(failure) = step {
                step = self.resume(failure).await;
            }
            match step {
                Step::Bytes(bytes) if bytes.is_empty() => {}
                Step::Bytes(bytes) => {
                    let now = self.exchange.instance.clock.now();
                    let is_moved = !Rc::ptr_eq(&target, &self.target);
                    let late = &self.exchange.late;
                    late.record_events(&target, last, is_moved, now);
                    return Some(Ok(bytes));
                }
                Step::End => {
                    self.exchange.record_answer();
                    self.end("ok");
                    return None;
                }
                Step::Broken(failure) | Step::Silent(failure) => {
                    self.end(failure.name());
                    return Some(Err(failure));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let left = self.exchange.time_left();
        if left.is_zero() {
            return Step::Broken(Failure::Silent);
        }
        self.forget_known_loss();
        let max_silence = self.exchange.route.patience().mul_f64(SILENCE_SHARE);
        let (targets, address) = (&self.exchange.instance.targets, self.target.address);
        let (resumable, is_silent) = (self.resumable, self.is_silent);
        let silence = async {
            if !resumable || left <= PROBE_AFTER {
                Timer::after(left).await;
                return Step::Broken(Failure::Silent);
            }
            if is_silent {
                Timer::after(RETRY_INTERVAL.min(left)).await;
                return Step::Silent(Failure::Silent);
            }
            Timer::after(PROBE_AFTER).await;
            if !targets.probe(address).await {
                return Step::Silent(Failure::Unreachable);
            }
            Timer::after(max_silence.min(left).saturating_sub(PROBE_AFTER)).await;
            Step::Silent(Failure::Silent)
        };
        let lost = memory_lost(self.loss.as_ref(), self.in_flight.as_ref());
        let read = read(&mut *self.body, &mut self.events);
        let step = or(read, or(silence, lost)).await;
        if let Step::Bytes(bytes) = &step {
            if !bytes.is_empty() {
                self.record_events();
            }
        }
        step
    }

    /// Records that the target sent events after the first ones.
    fn record_events(&mut self) {
        if !self.has_progress {
            self.has_progress = true;
            self.exchange.record_answer();
        }
        if let Some(in_flight) = &self.in_flight {
            in_flight.record_event();
        }
        if self.is_silent {
            self.is_silent = false;
            self.exchange.instance.mark_reachable(&self.target);
            event!(
                self.exchange.instance.source,
                "stream_goes_on",
                request = self.exchange.request.id.as_str(),
                target = self.target.id.as_str(),
                last = self.events.last()
            );
        }
        self.measure();
    }

    /// Measures the engine's slowdown by the gap before the newest events.
    fn measure(&mut self) {
        let (instance, service) = (&self.exchange.instance, &self.exchange.service);
        let Some(profile) = service.profile.as_ref() else {
            return;
        };
        let now = instance.clock.now();
        let last = self.last_events.replace(now);
        if let Some(last) = last {
            let gap = now.saturating_sub(last);
            let mut slowdowns = instance.slowdowns.borrow_mut();
            slowdowns.record(self.target.key(), gap, profile.pass_time(), now);
        }
    }

    /// Asks another target to continue the stream while its own one is silent, and reads on from whichever answers first.
    async fn seek(&mut self, failure: Failure) -> Step {
        if !self.is_silent {
            self.record_silence(failure);
        }
        let last = self.events.last();
        self.forget_known_loss();
        let raced = {
            let mut open = pin!(self.exchange.open(last));
            loop {
                let opened = async { Race::Opened(open.as_mut().await) };
                let read = read(&mut *self.body, &mut self.events);
                let lost = memory_lost(self.loss.as_ref(), self.in_flight.as_ref());
                let own = async { Race::Read(or(read, lost).await) };
                match or(own, opened).await {
                    Race::Read(Step::Bytes(bytes)) if bytes.is_empty() => {}
                    // The engines are free for the other target.
                    Race::Read(Step::Silent(_)) => self.loss = None,
                    // The other target may be about to answer.
                    Race::Read(Step::Broken(broken)) => {
                        self.in_flight = None;
                        match open.await {
                            Opening::Stream(opened) => break Race::Opened(Opening::Stream(opened)),
                            Opening::Answer(_) | Opening::GivenUp(_) => {
                                break Race::Read(Step::Broken(broken))
                            }
                        }
                    }
                    raced => break raced,
                }
            }
        };
        match raced {
            Race::Opened(Opening::Stream(opened)) => Step::Bytes(self.switch(*opened)),
            // No other target continues the stream, but its own one may.
            Race::Opened(Opening::Answer(_) | Opening::GivenUp(_)) => Step::Bytes(Bytes::new()),
            Race::Read(step) => {
                self.exchange.count_sent();
                if let Step::Bytes(_) = &step {
                    self.record_events();
                }
                step
            }
        }
    }

    /// Ends the wait for a loss that was reported: it is reported once, and then the channel is closed.
    fn forget_known_loss(&mut self) {
        let is_open = |loss: &Receiver<Loss>| !loss.is_closed() || !loss.is_empty();
        self.loss = self.loss.take().filter(is_open);
    }

    /// Records that the target is silent. The request ran there.
    fn record_silence(&mut self, failure: Failure) {
        self.is_silent = true;
        let instance = &self.exchange.instance;
        event!(
            instance.source,
            "stream_silent",
            request = self.exchange.request.id.as_str(),
            target = self.target.id.as_str(),
            last = self.events.last(),
            reason = failure.name(),
            left_ms = self.exchange.time_left().as_millis() as u64
        );
        match failure {
            Failure::Unreachable => instance.mark_unreachable(&self.target),
            Failure::Broken | Failure::Silent | Failure::Unsent => {
                let now = instance.clock.now();
                instance.health.borrow_mut().eject(self.target.key(), now);
                instance.targets.discard(self.target.address);
            }
        }
        self.exchange.resumes = true;
        self.exchange.count_run(self.target.key());
    }

    /// Continues at another target after the last delivered event.
    async fn resume(&mut self, failure: Failure) -> Step {
        let instance = self.exchange.instance.clone();
        // The request has ended at this target: its slot and its memory are free for others, and for its continuation.
        self.in_flight = None;
        event!(
            instance.source,
            "stream_broken",
            request = self.exchange.request.id.as_str(),
            target = self.target.id.as_str(),
            last = self.events.last(),
            reason = failure.name(),
            left_ms = self.exchange.time_left().as_millis() as u64
        );
        let now = instance.clock.now();
        let key = self.target.key();
        if self.exchange.time_left().is_zero() || !self.resumable {
            if failure == Failure::Broken && !self.has_progress {
                self.exchange.confirm_end(&self.target);
            }
            return Step::Broken(failure);
        }
        self.exchange.resumes = true;
        match failure {
            Failure::Silent => {
                instance.health.borrow_mut().eject(key, now);
                instance.targets.discard(self.target.address);
                self.exchange.count_run(key);
            }
            Failure::Unreachable => instance.mark_unreachable(&self.target),
            Failure::Broken | Failure::Unsent => {
                instance.health.borrow_mut().record(key, false, now);
                // The request ran at a target whose connection alone was reset.
                if instance.targets.probe(self.target.address).await {
                    self.exchange.count_run(key);
                } else {
                    instance.mark_unreachable(&self.target);
                    self.exchange.record_end(&self.target, self.has_progress);
                }
            }
        }
        self.events.discard_partial();
        match self.exchange.open(self.events.last()).await {
            Opening::Stream(opened) => Step::Bytes(self.switch(*opened)),
            Opening::Answer(_) | Opening::GivenUp(_) => Step::Broken(failure),
        }
    }

    /// Reads on from another target; returns its first events.
    fn switch(&mut self, opened: Opened) -> Bytes {
        opened.in_flight.finish_prefill();
        self.loss = opened.in_flight.loss();
        self.in_flight = Some(opened.in_flight);
        self.body = opened.body;
        self.events = opened.events;
        self.target = opened.target;
        self.has_progress = false;
        self.is_silent = false;
        self.last_events = None;
        opened.first
    }

    fn end(&mut self, outcome: &str) {
        self.ended = true;
        let exchange = &self.exchange;
        let kind = exchange.route.kind.name();
        if outcome != "ok" {
            let now = exchange.instance.clock.now();
            let last = self.events.last();
            exchange.late.record_break(&self.target, last, now);
        }
        exchange
            .instance
            .finish(kind, &exchange.request.id, exchange.arrival, outcome);
        exchange.explain_lateness();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller_left");
        }
    }
}
