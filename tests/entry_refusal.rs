//! Guards against long prompts that are refused only after a whole objective although it was clear before that they find
//! no engine in time. Runs the whole core without a socket.

mod entry_core;
mod entry_fixtures;
mod entry_script;

use std::rc::Rc;
use std::time::{Duration, Instant};

use entry_fixtures::{ms, profile};
use entry_script::{Engines, Fleet, Step, RUN_TIME};
use futures_lite::future::or;
use jujubehook::entry::{Answer, Instance, Prompt, Request, Settings};
use jujubehook::error::Kind;
use smol::Timer;

/// Tokens of a prompt that one engine prefills in 1.5 s.
const LONG: u64 = 100_000;

/// Number of prompts that one engine for long prompts takes in turn: one at once, one in time and one late.
const KEPT: usize = 3;

fn request(number: usize, last_event_id: Option<u64>) -> Request {
    Request {
        host: "h".into(),
        id: format!("id-{number}"),
        last_event_id,
        path: "/twice/".into(),
        prompt: Some(Prompt {
            max_tokens: 600,
            tokens: LONG,
        }),
        ..Request::default()
    }
}

/// Sends more prompts than one engine prefills in time, and then one more; returns its answer, if it gets one within
/// `limit`, the time until then, and the metrics.
fn play(
    settings: Settings,
    last_event_id: Option<u64>,
    limit: Duration,
) -> (Option<Answer>, Duration, String) {
    let engines = Rc::new(Engines::new([Step::Wait(RUN_TIME)]));
    let ids = ["i-1".to_owned(), "i-2".to_owned()];
    let targets = Rc::new(Fleet(engines));
    let (instance, executor) = entry_core::start_with(settings, profile(), ids, targets);
    let run = async {
        for number in 0..KEPT {
            let instance: Rc<Instance> = instance.clone();
            let served = async move { instance.serve(request(number, None)).await };
            executor.spawn(served).detach();
            Timer::after(ms(20)).await;
        }
        let start = Instant::now();
        let answered = async { Some(instance.serve(request(KEPT, last_event_id)).await) };
        let late = async {
            Timer::after(limit).await;
            None
        };
        (or(answered, late).await, start.elapsed())
    };
    let (answer, elapsed) = smol::block_on(executor.run(run));
    let text = String::from_utf8_lossy(&instance.metrics.text()).into_owned();
    (answer, elapsed, text)
}

fn admitting() -> Settings {
    Settings {
        admits_long_prompts: true,
        ..Settings::default()
    }
}

/// The prompts ahead take longer than the objective: the refusal comes at once, and the caller gets the time after which
/// they will be done.
#[test]
fn refused_at_once() {
    let (answer, elapsed, metrics) = play(admitting(), None, ms(2_000));
    let Some(Answer::Refusal { kind, retry }) = answer else {
        panic!("no refusal");
    };
    assert_eq!(kind, Kind::Overloaded);
    assert!(elapsed < ms(500), "refused after {elapsed:?}");
    let retry = retry.expect("a retry time");
    assert!((ms(1_500)..=ms(5_000)).contains(&retry), "{retry:?}");
    let line = "jujubehook_entry_admission_refusals_total{reason=\"ahead\"} 1";
    assert!(metrics.contains(line), "{metrics}");
}

/// A caller that already has a part of a stream cannot start again, so it is not refused.
#[test]
fn resumed_waits() {
    let (answer, _, _) = play(admitting(), Some(3), ms(1_000));
    assert!(answer.is_none());
}

/// Without the setting, a prompt waits for its whole objective, and the retry time is fixed.
#[test]
fn off_by_default() {
    let (answer, elapsed, metrics) = play(Settings::default(), None, ms(4_000));
    let Some(Answer::Refusal { retry, .. }) = answer else {
        panic!("no refusal");
    };
    assert!(elapsed > ms(2_900), "refused after {elapsed:?}");
    assert_eq!(retry, Some(ms(700)));
    assert!(!metrics.contains("admission_refusals_total{"), "{metrics}");
}
