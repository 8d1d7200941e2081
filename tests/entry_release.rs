//! Guards against memory that stays reserved at an engine after the request that used it has ended. Runs the whole core
//! without a socket.

mod entry_core;
mod entry_fixtures;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry_core::at;
use entry_fixtures::ms;
use futures_lite::future::or;
use http::{HeaderMap, StatusCode};
use jujubehook::entry::platform::{
    Body, Call, Failure, LocalBoxFuture, Notice, Ordered, Presence, Reply, Targets, Topic,
};
use jujubehook::entry::{Answer, Content, Instance, Prompt, Record, Relay, Request, Target};
use smol::Timer;

const ENGINES: u64 = 20;

/// Tokens of a prompt that needs the memory of two engines.
const WIDE: u64 = 600_000;

/// Tokens of a prompt that the maximum number of engines reads for over four seconds.
const LARGEST: u64 = 900_000;

/// Maximum time for which memory may stay reserved without being used, as agreed with the engines.
const MAX_UNUSED: Duration = Duration::from_secs(9);

/// Maximum time of a play.
const RUN_TIME: Duration = Duration::from_secs(10);

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
struct Reservation {
    ticket: String,
    /// End of the lease, or time of the release.
    until: Instant,
}

/// What an engine does with a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Writes an event.
    Event(u64),
    /// Breaks the connection.
    Break,
    /// Ends without a word: the connection stays open.
    Vanish,
    /// Does nothing for a time.
    Wait(Duration),
}

/// Engines that follow a script for the first request and never answer another one. The end of the first request is
/// known, and memory is counted.
struct Engines {
    /// Whether another process accepts connections at the address of an engine that vanished.
    address_is_reused: bool,
    ended: Cell<Option<Instant>>,
    /// Whether the first request waits at its engine and does not use its memory.
    is_queued: bool,
    /// Number of questions for the presence of an engine that get no answer, from the first on.
    lost_questions: Cell<u32>,
    /// Whether no renewal is carried out.
    loses_renewals: bool,
    reservations: RefCell<Vec<Reservation>>,
    script: RefCell<VecDeque<Step>>,
    sends: Cell<usize>,
    /// The engine that got the first request.
    user: RefCell<String>,
    vanished: Cell<bool>,
}

impl Engines {
    fn new(script: impl IntoIterator<Item = Step>) -> Engines {
        Engines {
            address_is_reused: false,
            ended: Cell::new(None),
            is_queued: false,
            lost_questions: Cell::new(0),
            loses_renewals: false,
            reservations: RefCell::default(),
            script: RefCell::new(script.into_iter().collect()),
            sends: Cell::new(0),
            user: RefCell::default(),
            vanished: Cell::new(false),
        }
    }

    fn has_vanished(&self, target: &Target) -> bool {
        self.vanished.get() && *self.user.borrow() == target.id
    }

    /// Records the end of the first request unless it ended before.
    fn end(&self) {
        self.ended.set(self.ended.get().or(Some(Instant::now())));
    }

    /// Follows the script up to the next event.
    async fn next(&self) -> Option<Result<Bytes, Failure>> {
        loop {
            let step = self.script.borrow_mut().pop_front();
            match step {
                Some(Step::Event(id)) => {
                    let event = format!("id: {id}\ndata: x\n\n");
                    return Some(Ok(Bytes::from(event)));
                }
                Some(Step::Wait(time)) => {
                    Timer::after(time).await;
                }
                Some(Step::Break) => {
                    self.end();
                    return Some(Err(Failure::Broken));
                }
                Some(Step::Vanish) => {
                    self.end();
                    self.vanished.set(true);
                }
                None => return pending().await,
            }
        }
    }

    /// Checks that memory was reserved and that none of it outlived the first request for too long.
    fn check(&self) {
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
struct Fleet(Rc<Engines>);

impl Targets for Fleet {
    fn discard(&self, _: SocketAddr) {}

    fn presence<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Presence> {
        let lost = self.0.lost_questions.get();
        self.0.lost_questions.set(lost.saturating_sub(1));
        let presence = match (self.0.has_vanished(target), self.0.address_is_reused) {
            _ if lost > 0 => Presence::Silent,
            (false, _) => Presence::Running,
            (true, false) => Presence::Silent,
            (true, true) => Presence::Replaced,
        };
        Box::pin(async move { presence })
    }

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        let accepts = !self.0.vanished.get() || self.0.address_is_reused;
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

    fn uses_memory<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, bool> {
        Box::pin(async { !self.0.is_queued })
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
fn play(
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    let ids = (0..ENGINES).map(|number| format!("i-{number}"));
    let (instance, executor) = entry_core::start(ids, Rc::new(Fleet(engines.clone())));
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
        Timer::after(RUN_TIME).await;
    };
    let served = async {
        let answer = instance.serve(request).await;
        caller(instance.clone(), answer).await;
        // Calls that release memory are sent after the end of the request.
        Timer::after(ms(100)).await;
    };
    smol::block_on(executor.run(or(served, end)));
}

/// The same, and checks that no memory outlives the request.
fn check(
    engines: &Rc<Engines>,
    path: &str,
    tokens: u64,
    caller: impl AsyncFnOnce(Rc<Instance>, Answer),
) {
    play(engines, path, tokens, caller);
    engines.check();
}

async fn leave(_: Rc<Instance>, _: Answer) {}

/// The stream of an answer after its first event.
async fn opened(answer: Answer) -> Box<Relay> {
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

/// Removes all other engines but three from the directory: enough to wait for, too few to begin at once.
fn keep_few(instance: &Instance, user: &str) {
    let ids = (0..ENGINES).map(|number| format!("i-{number}"));
    let others: Vec<String> = ids.filter(|id| id != user).skip(3).collect();
    let records = (ENGINES..).zip(others);
    let records: Vec<Record> = records
        .map(|(offset, key)| Record {
            key,
            position: at(offset),
            ..Record::default()
        })
        .collect();
    let end = at(ENGINES + records.len() as u64);
    instance.apply(Topic::Targets, records, end, false);
}

/// An engine falls silent for good while it reads the largest prompts, long before their predicted first event.
#[test]
fn silent_engine() {
    let script = [Step::Wait(ms(300)), Step::Vanish];
    check(&Rc::new(Engines::new(script)), "/twice/", LARGEST, leave);
}

/// The same, and another process accepts connections at its address.
#[test]
fn reused_address() {
    let engines = Engines {
        address_is_reused: true,
        ..Engines::new([Step::Wait(ms(300)), Step::Vanish])
    };
    check(&Rc::new(engines), "/twice/", LARGEST, leave);
}

/// The same on a route whose requests are sent to one target only.
#[test]
fn last_attempt() {
    let script = [Step::Wait(ms(300)), Step::Vanish];
    check(&Rc::new(Engines::new(script)), "/", LARGEST, leave);
}

/// An engine falls silent for good a while after the last event of a stream.
#[test]
fn silent_stream() {
    let script = [Step::Event(1), Step::Wait(ms(700)), Step::Vanish];
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await.next().await;
    };
    check(&Rc::new(Engines::new(script)), "/twice/", WIDE, caller);
}

/// A stream breaks and waits for memory at other engines to be resumed.
#[test]
fn broken_stream() {
    let script = [Step::Event(1), Step::Wait(ms(100)), Step::Break];
    let engines = Rc::new(Engines::new(script));
    let caller = async |instance: Rc<Instance>, answer| {
        let mut relay = opened(answer).await;
        keep_few(&instance, &engines.user.borrow());
        relay.next().await;
    };
    check(&engines, "/twice/", WIDE, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// An engine that reads a prompt for longer than memory lasts without a renewal still answers it.
#[test]
fn long_prefill() {
    let script = [Step::Wait(ms(8_500)), Step::Event(1)];
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await;
    };
    let engines = Rc::new(Engines::new(script));
    check(&engines, "/twice/", LARGEST, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// A full engine resets new connections for a while: the request that it reads goes on.
#[test]
fn full_engine() {
    let engines = Rc::new(Engines {
        lost_questions: Cell::new(2),
        ..Engines::new([Step::Wait(ms(5_000)), Step::Event(1)])
    });
    let caller = async |_: Rc<Instance>, answer| {
        opened(answer).await;
    };
    check(&engines, "/twice/", LARGEST, caller);
    assert_eq!(engines.sends.get(), 1);
}

/// No renewal is carried out: an engine cuts a request off when its memory expires, so the request goes elsewhere.
#[test]
fn lost_renewals() {
    let engines = Rc::new(Engines {
        loses_renewals: true,
        ..Engines::new([Step::Wait(RUN_TIME * 2)])
    });
    play(&engines, "/twice/", LARGEST, leave);
    assert!(engines.sends.get() > 1);
}

/// An engine queues a request and never begins it: the memory at other engines must not wait for it for too long.
#[test]
fn unused_memory() {
    let engines = Rc::new(Engines {
        is_queued: true,
        ..Engines::new([Step::Wait(RUN_TIME * 2)])
    });
    let began = Instant::now();
    play(&engines, "/twice/", LARGEST, leave);
    for reservation in engines.reservations.borrow().iter() {
        let kept = reservation.until.duration_since(began);
        assert!(kept < MAX_UNUSED, "{} for {kept:?}", reservation.ticket);
    }
}
