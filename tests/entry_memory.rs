//! Guards against memory that stays reserved at an engine after its request. Runs the whole core without a socket.

mod entry_core;
mod entry_fixtures;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use entry_core::at;
use jujubehook::entry::platform::{
    Call, Failure, LocalBoxFuture, Notice, Ordered, Presence, Reply, Targets, Topic,
};
use jujubehook::entry::{Answer, Instance, Prompt, Record, Request, Target};
use smol::Timer;

const ENGINES: u64 = 20;

/// Delay after which a reservation call without an answer is carried out.
const CALL_DELAY: Duration = Duration::from_secs(2);

/// Maximum time for which memory may stay reserved without a request, as agreed with the engines.
const MAX_LEAK: Duration = Duration::from_secs(4);

/// Memory that is reserved from a time on.
#[derive(Debug)]
struct Reservation {
    from: Instant,
    ticket: String,
}

/// Engines that answer no reservation call and carry out each one late. Reservations do not expire, so only a release
/// ends them.
#[derive(Default)]
struct Engines {
    reservations: RefCell<Vec<Reservation>>,
    calls: RefCell<usize>,
    /// Whether they state that they are about to exit.
    leaving: bool,
}

impl Engines {
    /// Number of tickets with reserved memory at this moment.
    fn reservations(&self) -> usize {
        let now = Instant::now();
        let reservations = self.reservations.borrow();
        reservations
            .iter()
            .filter(|reservation| reservation.from <= now)
            .count()
    }
}

impl Targets for Engines {
    fn discard(&self, _: SocketAddr) {}

    fn presence<'a>(&'a self, _: &'a Target) -> LocalBoxFuture<'a, Presence> {
        Box::pin(async { Presence::Running })
    }

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn release<'a>(&'a self, _: &'a Target, ticket: &'a str) -> LocalBoxFuture<'a, Ordered> {
        let now = Instant::now();
        let frees =
            |reservation: &Reservation| reservation.ticket == ticket && reservation.from <= now;
        self.reservations
            .borrow_mut()
            .retain(|reservation| !frees(reservation));
        let ordered = Ordered {
            done: true,
            notice: Notice {
                leaving: self.leaving,
                pause: None,
            },
        };
        Box::pin(async move { ordered })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        ticket: &'a str,
        _: u32,
        _: Duration,
    ) -> LocalBoxFuture<'a, Ordered> {
        let from = Instant::now() + CALL_DELAY;
        *self.calls.borrow_mut() += 1;
        self.reservations.borrow_mut().push(Reservation {
            from,
            ticket: ticket.into(),
        });
        Box::pin(async { Ordered::default() })
    }

    fn uses_memory<'a>(&'a self, _: &'a Target, _: &'a str) -> LocalBoxFuture<'a, Option<bool>> {
        Box::pin(async { Some(true) })
    }

    fn send(&self, _: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        Box::pin(async { Err(Failure::Unreachable) })
    }
}

/// Plays a request whose reservation calls are lost and carried out late, after the request has ended. `ended` is called
/// at its end; then the memory has to be released again.
fn check(engines: Engines, ended: impl FnOnce(&Instance)) {
    let engines = Rc::new(engines);
    let ids = (0..ENGINES).map(|number| format!("i-{number}"));
    let (instance, executor) = entry_core::start(ids, engines.clone());
    smol::block_on(executor.run(async {
        let request = Request {
            host: "h".into(),
            id: "id-1".into(),
            prompt: Some(Prompt {
                max_tokens: 600,
                tokens: 600_000,
            }),
            ..Request::default()
        };
        let answer = instance.serve(request).await;
        assert!(matches!(answer, Answer::Refusal { .. }));
        let calls = *engines.calls.borrow();
        assert!(calls > 0, "no memory was requested");
        // Each memory is released at once too.
        smol::future::yield_now().await;
        ended(&instance);
        Timer::after(CALL_DELAY).await;
        assert!(engines.reservations() > 0, "no call was carried out");
        Timer::after(MAX_LEAK).await;
        assert_eq!(engines.reservations(), 0, "after {calls} calls");
    }));
}

/// Reservation calls are lost and carried out late, after the request has ended and its releases were answered. The
/// memory is released again. Found by the fault scenario `trouble-2` of the second site, seed 11.
#[test]
fn late_reservations_are_released() {
    check(Engines::default(), |_| {});
}

/// The same at engines that leave and are no longer listed, but still run.
#[test]
fn unlisted_engines() {
    let engines = Engines {
        leaving: true,
        ..Engines::default()
    };
    check(engines, |instance| {
        let records = (0..ENGINES).map(|number| Record {
            key: format!("i-{number}"),
            position: at(ENGINES + number),
            ..Record::default()
        });
        instance.apply(Topic::Targets, records.collect(), at(2 * ENGINES), false);
    });
}
