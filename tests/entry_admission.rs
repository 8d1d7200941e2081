//! Guards against long prompts that wait for a whole objective although it is clear at arrival that they cannot be in
//! time, and against refusals of prompts that could be. Each test names the load or the failure.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::{add_chats, engines, long, ms, profile};
use jujubehook::entry::admission::{
    is_plausible, predict, rank, Prediction, Reason, Wait, Waiting, MAX_WAITING,
};
use jujubehook::entry::{
    place, Choice, Engine, Heartbeat, Load, Prefill, Requirements, View, Work,
};

/// Heartbeats stop counting for waiting prompts after this time.
const WAITING_TIMEOUT: Duration = Duration::from_secs(1);

fn prefill_time(tokens: u32) -> Duration {
    profile().prefill_time(tokens)
}

/// The prediction for a prompt that arrived `waited` ago with the objective of `long`.
fn predicted(tokens: u32, engines: &[Engine], ahead: Duration, waited: Duration) -> Prediction {
    let full = long(tokens);
    let requirements = Requirements {
        deadline: full.deadline - waited,
        objective: full.objective - waited,
        ..full
    };
    let wait = Wait {
        ahead,
        left: requirements.objective,
        objective: full.objective,
        waited,
    };
    predict(&requirements, &profile(), engines, &wait).expect("engines for long prompts")
}

/// Offers prompts one after the other; returns those that wait, in tokens, and the predictions of the others.
fn offer(prompts: &[u32], engines: &[Engine]) -> (Vec<u32>, Vec<Prediction>) {
    let (mut waiting, mut refused) = (Vec::new(), Vec::new());
    for prompt in prompts {
        let ahead = waiting.iter().copied().map(prefill_time).sum();
        let prediction = predicted(*prompt, engines, ahead, ms(0));
        match prediction.reason {
            None => waiting.push(*prompt),
            Some(_) => refused.push(prediction),
        }
    }
    (waiting, refused)
}

/// Fifteen engines, thirteen of which are full of chats.
fn after_outage() -> Vec<Engine> {
    let mut engines = engines(15);
    for engine in &mut engines[..13] {
        add_chats(engine, 16);
    }
    engines
}

/// Load: an outage leaves two engines for long prompts, and fifteen of 2 to 9 s arrive. What thirteen engines do in the
/// last second and two in three seconds may wait; the rest is refused at once.
#[test]
fn outage() {
    let engines = after_outage();
    let prompts: Vec<u32> = (0..15)
        .map(|number| 120_000 + 180_000 / 14 * number)
        .collect();
    let (waiting, refused) = offer(&prompts, &engines);
    let work: Duration = waiting.iter().copied().map(prefill_time).sum();
    assert!(work >= ms(13_000), "{work:?} of work may wait");
    assert!(refused.len() >= 9, "only {} are refused", refused.len());
    for prediction in refused {
        assert_eq!(prediction.reason, Some(Reason::Ahead));
        assert!(prediction.retry > ms(0) && prediction.first_event > ms(3_000));
    }
}

/// Failure: prompts that the engines can prefill one after the other are refused because of the first one.
#[test]
fn outage_serves_some() {
    let engines = after_outage();
    for tokens in [120_000, 200_000, 300_000] {
        let prediction = predicted(tokens, &engines, prefill_time(120_000), ms(0));
        assert_eq!(prediction.reason, None, "{tokens} tokens");
    }
}

/// Load: a burst of long prompts at busy engines. A refused caller that returns after the retry time is in time.
#[test]
fn burst() {
    let mut engines = engines(45);
    for engine in &mut engines {
        engine.load.backlog = ms(2_000);
    }
    let (waiting, refused) = offer(&[300_000; 40], &engines);
    assert!((4..=6).contains(&waiting.len()), "{} wait", waiting.len());
    let last = refused.last().expect("a refusal");
    assert!(last.retry > ms(0));
    for engine in &mut engines {
        engine.load.backlog = engine.load.backlog.saturating_sub(last.retry);
    }
    let ahead = waiting.iter().copied().map(prefill_time).sum();
    let returned = predicted(300_000, &engines, ahead, ms(0));
    assert_eq!(returned.reason, None, "after {:?}", last.retry);
}

/// Failure: the largest prompt is refused at arrival although nothing else is in the fleet, or only short work.
#[test]
fn largest_in_idle_fleet() {
    for count in [23, 45, 195] {
        for tokens in [100_000, 300_000, 523_000, 700_000, 900_000] {
            let mut engines = engines(count);
            let choice = place(&long(tokens), &profile(), &engines, 1);
            assert!(matches!(choice, Choice::Place(_)), "{count}: {choice:?}");
            for backlog in [0, 150] {
                for engine in &mut engines {
                    engine.load.backlog = ms(backlog);
                }
                let prediction = predicted(tokens, &engines, ms(0), ms(0));
                assert_eq!(prediction.reason, None, "{count}: {tokens} tokens");
            }
        }
    }
}

/// Failure: a prompt is refused because all engines are full of chats, which end within its objective. The older the
/// prompt is, the longer have those chats run.
#[test]
fn full_of_ending_chats() {
    let mut engines = engines(20);
    for engine in &mut engines {
        add_chats(engine, 16);
    }
    for waited in [0, 1_000, 1_900] {
        let prediction = predicted(300_000, &engines, ms(0), ms(waited));
        assert_eq!(prediction.reason, None, "after {waited} ms");
    }
    let requirements = Requirements {
        objective: ms(1_500),
        ..long(300_000)
    };
    let wait = Wait {
        left: ms(1_500),
        objective: ms(1_500),
        ..Wait::default()
    };
    let prediction = predict(&requirements, &profile(), &engines, &wait).expect("engines");
    assert_eq!(prediction.reason, Some(Reason::NoEngine));
    assert!((ms(500)..ms(1_500)).contains(&prediction.retry));
}

/// Failure: a prompt that is placed in the background, late but before its caller leaves, is refused.
#[test]
fn late_prompt_waits() {
    let mut engines = engines(40);
    for engine in &mut engines {
        engine.load.backlog = ms(500);
    }
    let prediction = predicted(900_000, &engines, ms(0), ms(0));
    assert!(prediction.first_event > long(900_000).objective);
    assert_eq!(prediction.reason, None);
}

/// Failure: a prompt that no number of the engines left prefills before its caller leaves waits all the same.
#[test]
fn too_large() {
    let prediction = predicted(900_000, &engines(6), ms(0), ms(0));
    assert_eq!(prediction.reason, Some(Reason::Size));
}

/// Failure: a prediction without any engine for long prompts refuses what engines that return could serve.
#[test]
fn nothing_is_known() {
    for count in [0, 1] {
        let prediction = predict(
            &long(300_000),
            &profile(),
            &engines(count),
            &Wait::default(),
        );
        assert_eq!(prediction, None);
    }
}

/// Failure: an impossible count in a heartbeat, or a slow engine, ends the process.
#[test]
fn extreme_inputs() {
    let mut engines = engines(20);
    engines[3].slowdown = 1e9;
    engines[19].load.backlog = Duration::from_millis(u64::from(u32::MAX));
    let prediction = predicted(4_000_000_000, &engines, Duration::MAX, ms(0));
    assert!(prediction.reason.is_some());
}

fn waiting(service: &str, random: u16, start: u64) -> Waiting {
    Waiting {
        prefill_time: ms(4_000),
        rank: rank(service, random),
        start: ms(start),
    }
}

fn heartbeat(view: &View, sequence: u64, now: u64) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        instance: "other".into(),
        prefills: view.prefills(ms(now)),
        rows: view.rows(),
        sequence,
        ..Heartbeat::default()
    }
}

fn work(start: u64) -> Work {
    Work {
        background: false,
        gap: ms(1_000),
        held: false,
        helpers: Vec::new(),
        part_time: ms(400),
        primary: 1,
        rank: 1,
        short: false,
        start: ms(start),
        tokens: 1_000,
    }
}

/// Failure: a waiting prompt counts as load, withdraws another instance's choice, or is not announced.
#[test]
fn waiting_is_no_load() {
    let (mut one, mut other) = (View::default(), View::default());
    let before = heartbeat(&other, 1, 0);
    other.start_waiting(waiting("llm", 1, 0));
    let after = heartbeat(&other, 2, 10);
    assert!(!after.repeats(&before));
    let number = one.start(work(5));
    let load = one.loads(ms(20));
    one.receive(&after, ms(12));
    assert!(!one.gives_way(number, ms(10)));
    assert_eq!(one.loads(ms(20)), load);
    assert_eq!(one.request_count(), 1);
    assert!(other.rows().is_empty());
    assert!(other
        .loads(ms(20))
        .iter()
        .all(|(_, load)| *load == Load::default()));
}

/// Failure: of two prompts neither or both are ahead of the other.
#[test]
fn earlier_is_ahead() {
    let (mut one, mut other) = (View::default(), View::default());
    let later = one.start_waiting(waiting("llm", 1, 200));
    let tied = one.start_waiting(waiting("llm", 2, 100));
    one.start_waiting(waiting("another", 0, 0));
    // Numbers of both kinds of rows are mixed; receivers search them.
    other.start(work(0));
    let theirs = other.start_waiting(waiting("llm", 3, 100));
    other.start(work(0));
    for (sequence, now) in [(1, 110), (2, 400)] {
        one.receive(&heartbeat(&other, sequence, now), ms(now));
        other.receive(&heartbeat(&one, sequence, now), ms(now));
    }
    assert_eq!(one.waiting_ahead(later, ms(400)), ms(8_000));
    assert_eq!(one.waiting_ahead(tied, ms(400)), ms(0));
    assert_eq!(other.waiting_ahead(theirs, ms(400)), ms(4_000));
}

/// Failure: a prompt that was placed, or that waits behind a cut, stays ahead.
#[test]
fn waiting_ends() {
    let (mut one, mut other) = (View::default(), View::default());
    let own = one.start_waiting(waiting("llm", 1, 100));
    let theirs = other.start_waiting(waiting("llm", 2, 0));
    one.receive(&heartbeat(&other, 1, 100), ms(100));
    assert_eq!(one.waiting_ahead(own, ms(200)), ms(4_000));
    assert_eq!(one.waiting_ahead(own, ms(100) + WAITING_TIMEOUT), ms(0));
    other.finish_waiting(theirs);
    one.receive(&heartbeat(&other, 2, 120), ms(120));
    assert_eq!(one.waiting_ahead(own, ms(200)), ms(0));
    one.finish_waiting(own);
    assert!(one.prefills(ms(200)).is_empty());
}

/// Failure: a flood of prompts at one instance makes its heartbeats grow without a limit, or a heartbeat with impossible
/// counts makes others refuse all prompts.
#[test]
fn announcements_are_bounded() {
    let mut view = View::default();
    let numbers = (0..200).map(|start| view.start_waiting(waiting("llm", 1, start)));
    let last = numbers.last().expect("a number");
    let announced = view.prefills(ms(300));
    assert_eq!(announced.len(), MAX_WAITING);
    assert_eq!(view.waiting_ahead(last, ms(300)), ms(4_000) * 199);
    assert!(is_plausible(&announced));
    let too_many: Vec<Prefill> = [&announced[..], &announced[..1]].concat();
    assert!(!is_plausible(&too_many));
    let too_long = Prefill {
        part_ms: u32::MAX,
        ..announced[0].clone()
    };
    assert!(!is_plausible(&[too_long]));
}
