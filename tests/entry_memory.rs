//! Guards against memory that stays set aside at an engine after its request. Drives the whole core without a socket.

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

/// Time after which an order whose answer was lost is carried out.
const LATE: Duration = Duration::from_secs(2);

/// Longest time for which memory may stay set aside without a request, as in the agreement with the engines.
const LOST: Duration = Duration::from_secs(4);

/// Memory that is set aside from some time on.
#[derive(Debug)]
struct Held {
    from: Instant,
    ticket: String,
}

/// Engines that answer no order to set memory aside, and carry each one out late. Their holds do not end by themselves, so
/// that only a release counts.
#[derive(Default)]
struct Engines {
    held: RefCell<Vec<Held>>,
    orders: RefCell<usize>,
}

impl Engines {
    /// Tickets with memory at this moment.
    fn held(&self) -> usize {
        let now = Instant::now();
        let held = self.held.borrow();
        held.iter().filter(|held| held.from <= now).count()
    }
}

impl Targets for Engines {
    fn probe(&self, _: SocketAddr) -> LocalBoxFuture<'_, bool> {
        Box::pin(async { true })
    }

    fn release<'a>(&'a self, _: &'a Target, ticket: &'a str) -> LocalBoxFuture<'a, bool> {
        let now = Instant::now();
        let frees = |held: &Held| held.ticket == ticket && held.from <= now;
        self.held.borrow_mut().retain(|held| !frees(held));
        Box::pin(async { true })
    }

    fn reserve<'a>(
        &'a self,
        _: &'a Target,
        ticket: &'a str,
        _: u32,
        _: Duration,
    ) -> LocalBoxFuture<'a, bool> {
        let from = Instant::now() + LATE;
        *self.orders.borrow_mut() += 1;
        self.held.borrow_mut().push(Held {
            from,
            ticket: ticket.into(),
        });
        Box::pin(async { false })
    }

    fn send(&self, _: Call) -> LocalBoxFuture<'_, Result<Reply, Failure>> {
        Box::pin(async { Err(Failure::Unreachable) })
    }
}

/// Records are given to the instance by the test.
struct Nothing;

impl Log for Nothing {
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

/// Reads any operators' record as one configuration, and the key of any other as the id of a target.
struct Fixed;

impl Decoder for Fixed {
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

/// Orders to set memory aside are lost and carried out late, after the request has ended and its releases were answered:
/// the memory is released again. Found by `trouble-2` of the second site, seed 11.
#[test]
fn late_orders_are_undone() {
    let engines = Rc::new(Engines::default());
    let executor = Rc::new(LocalExecutor::new());
    let instance = Instance::new(
        Settings::default(),
        executor.clone(),
        Box::new(Fixed),
        Rc::new(Nothing),
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
        let orders = *engines.orders.borrow();
        assert!(orders > 0, "no memory was asked for");
        Timer::after(LATE).await;
        assert!(engines.held() > 0, "no order was carried out");
        Timer::after(LOST).await;
        assert_eq!(engines.held(), 0, "after {orders} orders");
    }));
}
