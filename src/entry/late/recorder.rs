use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use super::{explain, Gap, Promise, Times};
use crate::entry::{Instance, Request, Route, Target};
use crate::event;

/// Records the times of one request, and explains its response when it ends.
pub(in crate::entry) struct Recorder {
    has_event: Cell<bool>,
    /// Whether the caller asked for events and got none yet.
    is_waiting: Cell<bool>,
    last_delivery: Cell<Option<Duration>>,
    /// Time at which the caller last asked for events.
    last_poll: Cell<Duration>,
    /// Target that was waited for in the longest pause.
    pausing: RefCell<Option<Rc<Target>>>,
    sends: Cell<u32>,
    /// Target of the answering send.
    target: RefCell<Option<Rc<Target>>>,
    times: Cell<Times>,
}

impl Recorder {
    /// A request that arrived at this time.
    pub(in crate::entry) fn new(arrival: Duration) -> Recorder {
        let times = Times {
            arrival,
            ..Times::default()
        };
        Recorder {
            has_event: Cell::default(),
            is_waiting: Cell::default(),
            last_delivery: Cell::default(),
            last_poll: Cell::default(),
            pausing: RefCell::default(),
            sends: Cell::default(),
            target: RefCell::default(),
            times: Cell::new(times),
        }
    }

    fn update(&self, change: impl FnOnce(&mut Times)) {
        let mut times = self.times.get();
        change(&mut times);
        self.times.set(times);
    }

    /// Records a send.
    pub(in crate::entry) fn record_send(
        &self,
        target: &Rc<Target>,
        predicted: Duration,
        now: Duration,
    ) {
        self.sends.set(self.sends.get().saturating_add(1));
        if self.has_event.get() {
            return;
        }
        *self.target.borrow_mut() = Some(target.clone());
        self.update(|times| {
            times.first_send = times.first_send.or(Some(now));
            times.answering_send = Some(now);
            times.predicted = predicted;
        });
    }

    /// Records the first event or the whole answer of the send that started at `started`.
    pub(in crate::entry) fn record_answer(
        &self,
        target: &Rc<Target>,
        predicted: Duration,
        started: Duration,
        now: Duration,
    ) {
        if self.has_event.replace(true) {
            return;
        }
        *self.target.borrow_mut() = Some(target.clone());
        self.update(|times| {
            times.answering_send = Some(started);
            times.first_event = now;
            times.predicted = predicted;
        });
        self.last_delivery.set(Some(now));
        self.last_poll.set(now);
    }

    /// Records that the caller asks for events after the event `last`.
    pub(in crate::entry) fn record_poll(&self, last: Option<u64>, now: Duration) {
        self.last_poll.set(now);
        self.is_waiting.set(true);
        self.record_unread(last, now);
    }

    fn record_unread(&self, last: Option<u64>, now: Duration) {
        let Some(delivery) = self.last_delivery.get() else {
            return;
        };
        let unread = Gap {
            after_event: last,
            is_moved: false,
            time: now.saturating_sub(delivery),
        };
        if unread.time > self.times.get().unread.time {
            self.update(|times| times.unread = unread);
        }
    }

    /// Records events after the event `last`, for which `target` was waited for. Another target wrote them if
    /// `is_moved`.
    pub(in crate::entry) fn record_events(
        &self,
        target: &Rc<Target>,
        last: Option<u64>,
        is_moved: bool,
        now: Duration,
    ) {
        self.last_delivery.set(Some(now));
        self.is_waiting.set(false);
        let pause = Gap {
            after_event: last,
            is_moved,
            time: now.saturating_sub(self.last_poll.get()),
        };
        if pause.time > self.times.get().pause.time {
            self.update(|times| times.pause = pause);
            *self.pausing.borrow_mut() = Some(target.clone());
        }
    }

    /// Records that a stream ended incomplete after the event `last`: its last gap had no end.
    pub(in crate::entry) fn record_break(
        &self,
        target: &Rc<Target>,
        last: Option<u64>,
        now: Duration,
    ) {
        match self.is_waiting.get() {
            true => self.record_events(target, last, false, now),
            false => self.record_unread(last, now),
        }
    }

    /// Logs and counts the cause if the response was late.
    pub(in crate::entry) fn end(&self, instance: &Instance, request: &Request, route: &Route) {
        if !self.has_event.get() {
            let now = instance.clock.now();
            self.update(|times| times.first_event = now);
        }
        let promise = Promise {
            gap: route.gap,
            objective: route.objective,
        };
        let times = self.times.get();
        let Some(late) = explain(&times, promise) else {
            return;
        };
        let (kind, cause) = (route.kind.name(), late.cause.name());
        instance
            .metrics
            .late
            .with_label_values(&[kind, cause])
            .inc();
        let pausing = self.pausing.take().filter(|_| !late.is_first);
        let target = pausing.or_else(|| self.target.take());
        event!(
            instance.source,
            "late",
            request = request.id.as_str(),
            route = route.name.as_str(),
            cause = cause,
            place_ms = late.place.as_millis() as u64,
            attempt_ms = late.attempt.as_millis() as u64,
            first_ms = late.first.as_millis() as u64,
            predicted_ms = times.predicted.as_millis() as u64,
            pause_ms = late.pause.time.as_millis() as u64,
            after_event = late.pause.after_event,
            sends = self.sends.get(),
            target = target.as_ref().map(|target| target.id.as_str())
        );
    }
}
