use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use smol::Timer;

use super::config::RouteKind;
use super::platform::{Body, Failure};
use super::reservation::{lost, Loss};
use super::serve::{Exchange, InFlight, Opened, SILENCE_SHARE};
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
    last_events: Option<Duration>,
    resumable: bool,
    target: std::rc::Rc<super::Target>,
}

enum Read {
    Unreachable,
    Chunk(Option<Result<Bytes, Failure>>),
    Silent,
}

enum Step {
    Broken(Failure),
    Bytes(Bytes),
    End,
}

impl Relay {
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
            in_flight: Some(opened.in_flight),
            last_events: None,
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
        loop {
            if self.ended {
                return None;
            }
            match self.step().await {
                Step::Bytes(bytes) if bytes.is_empty() => {}
                Step::Bytes(bytes) => return Some(Ok(bytes)),
                Step::End => {
                    self.end("ok");
                    return None;
                }
                Step::Broken(failure) => match self.resume(failure).await {
                    Some(bytes) if bytes.is_empty() => {}
                    Some(bytes) => return Some(Ok(bytes)),
                    None => {
                        self.end(failure.name());
                        return Some(Err(failure));
                    }
                },
            }
        }
    }

    async fn step(&mut self) -> Step {
        let left = self.exchange.time_left();
        if left.is_zero() {
            return Step::Broken(Failure::Silent);
        }
        let max_silence = self.exchange.route.patience().mul_f64(SILENCE_SHARE);
        let (targets, address) = (&self.exchange.instance.targets, self.target.address);
        let resumable = self.resumable;
        let silence = async {
            if !resumable || left <= PROBE_AFTER {
                Timer::after(left).await;
                return Read::Silent;
            }
            Timer::after(PROBE_AFTER).await;
            if !targets.probe(address).await {
                return Read::Unreachable;
            }
            Timer::after(max_silence.min(left).saturating_sub(PROBE_AFTER)).await;
            Read::Silent
        };
        let loss = self.in_flight.as_ref().and_then(InFlight::loss);
        let lost = async {
            match lost(loss.as_ref()).await {
                Loss::Expired | Loss::Unused => Read::Silent,
                Loss::TargetGone => Read::Unreachable,
            }
        };
        let silence = or(silence, lost);
        let read = or(async { Read::Chunk(self.body.next().await) }, silence).await;
        match read {
            Read::Unreachable => {
                self.exchange.instance.mark_unreachable(&self.target);
                Step::Broken(Failure::Unreachable)
            }
            Read::Silent => Step::Broken(Failure::Silent),
            Read::Chunk(Some(Err(failure))) => Step::Broken(failure),
            Read::Chunk(None) if self.events.is_whole() => {
                self.exchange.record_answer();
                Step::End
            }
            Read::Chunk(None) => Step::Broken(Failure::Broken),
            Read::Chunk(Some(Ok(bytes))) => match self.events.push(&bytes) {
                Ok(events) => {
                    if !events.is_empty() {
                        self.record_events();
                    }
                    Step::Bytes(events)
                }
                Err(failure) => Step::Broken(failure),
            },
        }
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

    /// Continues at another target after the last delivered event.
    async fn resume(&mut self, failure: Failure) -> Option<Bytes> {
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
            return None;
        }
        self.exchange.resumes = true;
        match failure {
            Failure::Silent => {
                instance.health.borrow_mut().eject(key, now);
                instance.targets.discard(self.target.address);
                self.exchange.count_run(key);
            }
            Failure::Unreachable => instance.health.borrow_mut().record(key, false, now),
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
        if !self.exchange.take_retry() {
            return None;
        }
        self.events.discard_partial();
        let opened = match self.exchange.open(self.events.last()).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(_)) | Err(_) => return None,
        };
        self.body = opened.body;
        self.events = opened.events;
        opened.in_flight.finish_prefill();
        self.in_flight = Some(opened.in_flight);
        self.target = opened.target;
        self.has_progress = false;
        self.last_events = None;
        Some(opened.first)
    }

    fn end(&mut self, outcome: &str) {
        self.ended = true;
        let exchange = &self.exchange;
        let kind = exchange.route.kind.name();
        exchange
            .instance
            .finish(kind, &exchange.request.id, exchange.arrival, outcome);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller_left");
        }
    }
}
