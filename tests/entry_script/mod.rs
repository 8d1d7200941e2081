//! Engines without a socket that follow a script for the first request, and the whole core in front of them.

#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::or;
use http::{HeaderMap, StatusCode};
use jujubehook::entry::platform::{
    Body, Call, Failure, LocalBoxFuture, Notice, Ordered, Presence, Reply, Targets,
};
use jujubehook::entry::{
    Answer, Content, Instance, Profile, Prompt, Relay, Request, Settings, Target,
};
use smol::Timer;

use crate::entry_core;
use crate::entry_fixtures::{ms, profile};

pub(crate) const ENGINES: u64 = 20;

/// Tokens of a prompt that needs the memory of two engines.
pub(crate) const WIDE: u64 = 600_000;

/// Tokens of a prompt that the maximum number of engines reads for over four seconds.
pub(crate) const LARGEST: u64 = 900_000;

/// Maximum time of a play.
pub(crate) const RUN_TIME: Duration = Duration::from_secs(10);

/// Maximum time for which memory may stay reserved after the end of its request, as agreed with the engines.
const MAX_LEAK: Duration = Duration::from_secs(4);

/// Confirmation of a call.
const DONE: Ordered = Ordered {
    done: true,
    notice: Notice {
        leaving: false,
        pause: None,
    },
};

/// Memory at an engine.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) ticket: String,
    /// End of the lease, or time of the release.
    pub(crate) until: Instant,
}

/// What an engine does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Writes an event.
    Event(u64),
    /// Breaks the connection.
    Break,
    /// Ends the stream.
    End,
    /// Does nothing for a time and answers nothing, not even new connections, and goes on.
    Stand(Duration),
    /// Ends the request without a word and goes on: the connection stays open.
    Finish,
    /// Ends without a word: the connection stays open.
    Vanish,
    /// Does nothing for a time.
    Wait(Duration),
}

/// Engines that follow a script for the first request and never answer another one. The end of the first request is
/// known, and memory is counted.
pub(crate) struct Engines {
    /// Whether another process accepts connections at the address of an engine that vanished.
    pub(crate) address_is_reused: bool,
    pub(crate) ended: Cell<Option<Instant>>,
    /// Whether the engine that got the first request has finished it.
    pub(crate) finished: Cell<bool>,
    /// Whether the first request waits at its engine and does not use its memory.
    pub(crate) is_queued: bool,
    /// Number of questions for the presence of an engine that get no answer, from the first on.
    pub(crate) lost_questions: Cell<u32>,
    /// Time after which the first reservation is refused, if it is.
    pub(crate) late_refusal: Cell<Option<Duration>>,
    /// Whether no renewal is carried out.
    pub(crate) loses_renewals: bool,
    pub(crate) reservations: RefCell<Vec<Reservation>>,
    pub(crate) script: RefCell<VecDeque<Step>>,
    pub(crate) sends: Cell<usize>,
    /// The engine that got the first request.
    pub(crate) user: RefCell<String>,
    /// Start of the step that waits, if any.
    pub(crate) step_began: Cell<Option<Instant>>,
    /// Whether the engine that got the first request stands still.
    pub(crate) stands: Cell<bool>,
    pub(crate) vanished: Cell<bool>,
}

impl Engines {
    pub(crate) fn new(script: impl IntoIterator<Item = Step>) -> Engines {
        Engines {
            address_is_reused: false,
            ended: Cell::new(None),
            finished: Cell::new(false),
            is_queued: false,
            late_refusal: Cell::new(None),
            lost_questions: Cell::new(0),
            loses_renewals: false,
            reservations: RefCell::default(),
            script: RefCell::new(script.into_iter().collect()),
            sends: Cell::new(0),
            user: RefCell::default(),
            step_began: Cell::new(None),
            stands: Cell::new(false),
            vanished: Cell::new(false),
        }
    }

    fn is_silent(&self, target: &Target) -> bool {
        self.is_still() && *self.user.borrow() == target.id
    }

    /// Whether the engine that got the first request answers nothing.
    fn is_still(&self) -> bool {
        self.vanished.get() || self.stands.get()
    }

    /// Records the end of the first request unless it ended before.
    fn end(&self) {
        self.ended.set(self.ended.get().or(Some(Instant::now())));
    }

    /// Follows the script up to the next event. Dropping the future loses no step.
    async fn next(&self) -> Option<Result<Bytes, Failure>> {
        loop {
            let step = self.script.borrow().front().copied();
            match step {
                Some(Step::Wait(time)) => self.wait(time).await,
                Some(Step::Stand(time)) => {
                    self.stands.set(true);
                    self.wait(time).await;
                    self.stands.set(false);
                }
                Some(Step::Break | Step::End | Step::Event(_) | Step::Finish | Step::Vanish)
                | None => {}
            }
            self.script.borrow_mut().pop_front();
            match step {
                Some(Step::Event(id)) => {
                    let event = format!("id: {id}\ndata: x\n\n");
                    return Some(Ok(Bytes::from(event)));
                }
                Some(Step::Break) => {
                    self.end();
                    return Some(Err(Failure::Broken));
                }
                Some(Step::End) => {
                    self.end();
                    return None;
                }
                Some(Step::Finish) => {
                    self.end();
                    self.finished.set(true);
                }
                Some(Step::Vanish) => {
                    self.end();
                    self.vanished.set(true);
                }
                Some(Step::Stand(_) | Step::Wait(_)) => {}
                None => return pending().await,
            }
        }
    }

    /// Waits until `time` has passed since the step began, which may have been in an earlier call.
    async fn wait(&self, time: Duration) {
        let began = self.step_began.get().unwrap_or_else(Instant::now);
        self.step_began.set(Some(began));
        Timer::at(began + time).await;
        self.step_began.set(None);
    }

    /// Checks that memory was reserved and that none of it outlived the first request for too long.
    pub(crate) fn check(&self) {
        let ended = self.ended.get().expect("an end of the request");
        let reservations = self.reservations.borrow();
        assert!(!reservations.is_empty(), "no memory was reserved");
        for reservation in reservations.iter() {
            let outlived = reservation.until.saturating_duration_since(ended);
            assert!(
                outlived < MAX_LEAK,
                "{} for {outlived:?}",
                reservation.ticket
            );
        }
    }
}

/// The body of an answer by the script.
struct Scripted {
    engines: Rc<Engines>,
    first: Option<Bytes>,
}

impl Body for Scripted {
    fn next(&mut self) -> LocalBoxFuture<'_, Option<Result<Bytes, Failure>>> {
        let first = self.first.take();
        Box::pin(async {
            match first {
                Some(first) => Some(Ok(first)),
                None => self.engines.next().await,
            }
        })
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.engines.end();
    }
}

/// The engines as targets.
pub(crate) struct Fleet(pub(crate) Rc<Engines>);

impl Targets for Fleet {
    fn discard(&self, _: SocketAddr) {}

    fn presence<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Presence> {
        let lost = self.0.lost_questions.get();
        self.0.lost_questions.set(lost.saturating_sub(1));
        let presence = match (self.0.is_silent(target), self.0.address_is_reused) {
            _ if lost > 0 => Presence::Silent,
            (false, _) => Presence::Running,
            (true, false) => Presence::Silent,
            (true, true) => Presence::Replaced,
        };
        Box::pin(async move { presence })
    }

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        let accepts = !self.0.is_still() || self.0.address_is_reused;
        Box::pin(async move { accepts })
    }

    fn release<'a>(&'a self, _: &'a Target, ticket: &'a str) -> LocalBoxFuture<'a, Ordered> {
        let now = Instant::now();
        for known in self.0.reservations.borrow_mut().iter_mut() {
            if known.ticket == ticket {
                known.until = known.until.min(now);
            }
        }
        Box::pin(async { DONE })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        ticket: &'a str,
        _: u32,
        hold: Duration,
    ) -> LocalBoxFuture<'a, Ordered> {
        if let Some(time) = self.0.late_refusal.take() {
            return Box::pin(async move {
                Timer::after(time).await;
                Ordered::default()
            });
        }
        let until = Instant::now() + hold;
        let mut reservations = self.0.reservations.borrow_mut();
        match reservations.iter_mut().find(|known| known.ticket == ticket) {
            Some(_) if self.0.loses_renewals => {
                return Box::pin(async { Ordered::default() });
            }
            Some(known) => known.until = until,
            // Only the memory of the first request counts.
            None if self.0.sends.get() == 0 => reservations.push(Reservation {
                ticket: ticket.into(),
                until,
            }),
            None => {}
        }
        Box::pin(async { DONE })
    }

    fn uses_memory<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Option<bool>> {
        Box::pin(async { Some(!self.0.is_queued && !self.0.finished.get()) })
    }

    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        let engines = self.0.clone();
        engines.sends.set(engines.sends.get() + 1);
        Box::pin(async move {
            if engines.sends.get() > 1 {
                return pending().await;
            }
            *engines.user.borrow_mut() = call.target.id.clone();
            let first = engines.next().await.expect("an event")?;
            Ok(Reply {
                body: Box::new(Scripted {
                    engines,
                    first: Some(first),
                }),
                event_fields: &[],
                fault: None,
                framed: true,
                headers: HeaderMap::new(),
                not_run: false,
                notice: Notice::default(),
                requests: vec![call.request.id.clone()],
                signed: true,
                status: StatusCode::OK,
            })
        })
    }
}

/// Plays a request with a prompt of `tokens` tokens on a route, and the caller.
pub(crate) fn play(
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    play_with(Settings::default(), engines, path, tokens, caller);
}

/// The same with these settings.
pub(crate) fn play_with(
    settings: Settings,
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    let deployment = Deployment {
        settings,
        ..Deployment::default()
    };
    play_in(deployment, engines, path, tokens, caller);
}

/// What a request is played in.
pub(crate) struct Deployment {
    /// Number of engines.
    pub(crate) engines: u64,
    pub(crate) profile: Profile,
    pub(crate) settings: Settings,
    /// Maximum time of the play.
    pub(crate) time: Duration,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            engines: ENGINES,
            profile: profile(),
            settings: Settings::default(),
            time: RUN_TIME,
        }
    }
}

/// The same in this deployment.
pub(crate) fn play_in(
    deployment: Deployment,
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    let Deployment {
        engines: count,
        profile,
        settings,
        time,
    } = deployment;
    let ids = (0..count).map(|number| format!("i-{number}"));
    let targets = Rc::new(Fleet(engines.clone()));
    let (instance, executor) = entry_core::start_with(settings, profile, ids, targets);
    let request = Request {
        host: "h".into(),
        id: "id-1".into(),
        path: path.into(),
        prompt: Some(Prompt {
            max_tokens: 600,
            tokens,
        }),
        ..Request::default()
    };
    let end = async {
        Timer::after(time).await;
    };
    let served = async {
        let answer = instance.serve(request).await;
        caller(instance.clone(), answer).await;
        // Calls that release memory are sent after the end of the request.
        Timer::after(ms(100)).await;
    };
    smol::block_on(executor.run(or(served, end)));
}

/// The stream of an answer after its first event.
pub(crate) async fn opened(answer: Answer) -> Box<Relay> {
    let Answer::Reply {
        content: Content::Streamed(mut relay),
        ..
    } = answer
    else {
        panic!("no stream");
    };
    assert!(matches!(relay.next().await, Some(Ok(_))));
    relay
}
