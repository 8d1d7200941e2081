//! The serving core of an instance without a socket: its log refuses all calls, and the test applies records directly.

#![allow(dead_code)]

use std::rc::Rc;
use std::time::Duration;

use jujubehook::entry::platform::{
    Batch, Decoder, Directive, LocalBoxFuture, Log, LogError, Targets, Topic,
};
use jujubehook::entry::{
    Config, Instance, Limits, Position, Profile, Rank, Record, Route, RouteKind, Service, Settings,
    Target,
};
use smol::LocalExecutor;

use crate::entry_fixtures::{ms, profile, target};

/// An instance that knows these targets, and its executor.
pub(crate) fn start(
    ids: impl IntoIterator<Item = String>,
    targets: Rc<dyn Targets>,
) -> (Rc<Instance>, Rc<LocalExecutor<'static>>) {
    start_with(Settings::default(), profile(), ids, targets)
}

/// The same with these settings and engines of this profile.
pub(crate) fn start_with(
    settings: Settings,
    profile: Profile,
    ids: impl IntoIterator<Item = String>,
    targets: Rc<dyn Targets>,
) -> (Rc<Instance>, Rc<LocalExecutor<'static>>) {
    let executor = Rc::new(LocalExecutor::new());
    let instance = Instance::new(
        settings,
        executor.clone(),
        Box::new(FixedDecoder(profile)),
        Rc::new(RefusingLog),
        targets,
    )
    .expect("an instance");
    instance.apply(
        Topic::Operator,
        vec![record("config".into(), 0)],
        at(1),
        true,
    );
    let records = (0..).zip(ids).map(|(offset, id)| record(id, offset));
    let records: Vec<Record> = records.collect();
    let end = at(records.len() as u64);
    instance.apply(Topic::Targets, records, end, true);
    (instance, executor)
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
struct FixedDecoder(Profile);

impl Decoder for FixedDecoder {
    fn directive(&self, _: &Record) -> Result<Option<Directive>, String> {
        let route = |prefix: &str, kind| Route {
            allow_anonymous: true,
            gap: ms(1_000),
            host: "h".into(),
            kind,
            objective: ms(3_000),
            prefix: prefix.into(),
            shares: vec![("llm".into(), 1)],
            ..Route::default()
        };
        let stream = RouteKind::Stream { resumable: true };
        let routes = vec![
            route("/", stream),
            route("/once/", RouteKind::Once),
            Route {
                max_attempts: 2,
                name: "safe".into(),
                objective: ms(200),
                ..route("/safe/", RouteKind::Repeatable)
            },
            Route {
                max_attempts: 2,
                timeout: ms(15_000),
                ..route("/twice/", stream)
            },
            Route {
                max_attempts: 2,
                timeout: ms(15_000),
                ..route("/sale/", RouteKind::Once)
            },
            Route {
                max_attempts: 2,
                timeout: ms(15_000),
                ..route("/fixed/", RouteKind::Stream { resumable: false })
            },
        ];
        let service = Service {
            profile: Some(self.0.clone()),
            name: "llm".into(),
            ..Service::default()
        };
        let config = Config::new(1, Limits::default(), routes, vec![service], Vec::new());
        Ok(Some(Directive::Config(Box::new(config), Vec::new())))
    }

    fn rank(&self, _: Topic, _: &Record) -> Option<Rank> {
        None
    }

    fn target(&self, record: &Record, _: Duration) -> Result<Target, String> {
        Ok(target(&record.key, "local"))
    }
}

fn record(key: String, offset: u64) -> Record {
    Record {
        key,
        position: at(offset),
        rank: None,
        value: Some(Vec::new()),
    }
}

/// Position in a log that was never restored from a copy.
pub(crate) fn at(offset: u64) -> Position {
    Position::new(0, offset)
}
