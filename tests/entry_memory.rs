//! Guards against memory that stays reserved at an engine after its request. Runs the whole core without a socket.

mod entry_fixtures;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use entry_fixtures::{ms, profile, target};
use jujubehook::entry::platform::{
    Batch, Call, Decoder, Directive, Failure, LocalBoxFuture, Log, LogError, Reply, Targets, Topic,
};
use jujubehook::entry::{
    Answer, Config, Instance, Limits, Prompt, Record, Request, Route, RouteKind, Service, Settings,
    Target,
};
use smol::{LocalExecutor, Timer};

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

    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn release<'a>(&'a self, _: &'a Target, ticket: &'a str) -> LocalBoxFuture<'a, bool> {
        let now = Instant::now();
        let frees =
            |reservation: &Reservation| reservation.ticket == ticket && reservation.from <= now;
        self.reservations
            .borrow_mut()
            .retain(|reservation| !frees(reservation));
        Box::pin(async { true })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        ticket: &'a str,
        _: u32,
        _: Duration,
    ) -> LocalBoxFuture<'a, bool> {
        let from = Instant::now() + CALL_DELAY;
        *self.calls.borrow_mut() += 1;
        self.reservations.borrow_mut().push(Reservation {
            from,
            ticket: ticket.into(),
        });
        Box::pin(async { false })
    }

    fn send(&self, _: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        Box::pin(async { Err(Failure::Unreachable) })
    }
}

/// A log that refuses all calls; the test applies records directly.
struct RefusingLog;

impl Log for RefusingLog {
    fn newest(&self, _: Topic) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(async { Err(LogError::Refused(503)) })
    }

    fn put(&self, _: &str, _: &[u8]) -> LocalBoxFuture<'_, Result<(), LogError>> {
        Box::pin(async { Err(LogError::Refused(503)) })
    }

    fn read(&self, _: Topic, _: u64, _: Duration) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(async { Err(LogError::Refused(503)) })
    }
}

/// Decodes any record of the operators' topic as the same configuration, and the key of any other record as the id of a
/// target.
struct FixedDecoder;

impl Decoder for FixedDecoder {
    fn directive(&self, _: &Record) -> Result<Option<Directive>, String> {
        let route = Route {
            allow_anonymous: true,
            gap: ms(1_000),
            host: "h".into(),
            kind: RouteKind::Stream { resumable: true },
            objective: ms(3_000),
            shares: vec![("llm".into(), 1)],
            ..Route::default()
        };
        let service = Service {
            profile: Some(profile()),
            name: "llm".into(),
            ..Service::default()
        };
        let config = Config::new(1, Limits::default(), vec![route], vec![service], Vec::new());
        Ok(Some(Directive::Config(Box::new(config), Vec::new())))
    }

    fn target(&self, record: &Record, _: Duration) -> Result<Target, String> {
        Ok(target(&record.key, "local"))
    }
}

fn record(key: String, offset: u64) -> Record {
    Record {
        key,
        offset,
        value: Some(Vec::new()),
    }
}

/// Reservation calls are lost and carried out late, after the request has ended and its releases were answered. The
/// memory is released again. Found by the fault scenario `trouble-2` of the second site, seed 11.
#[test]
fn late_reservations_are_released() {
    let engines = Rc::new(Engines::default());
    let executor = Rc::new(LocalExecutor::new());
    let instance = Instance::new(
        Settings::default(),
        executor.clone(),
        Box::new(FixedDecoder),
        Rc::new(RefusingLog),
        engines.clone(),
    )
    .expect("an instance");
    instance.apply(Topic::Operator, vec![record("config".into(), 0)], 1, true);
    let targets = (0..ENGINES).map(|number| record(format!("i-{number}"), number));
    instance.apply(Topic::Targets, targets.collect(), ENGINES, true);
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
        Timer::after(CALL_DELAY).await;
        assert!(engines.reservations() > 0, "no call was carried out");
        Timer::after(MAX_LEAK).await;
        assert_eq!(engines.reservations(), 0, "after {calls} calls");
    }));
}
