//! Guards against long prompts of several instances that are sent to the same engines at the same time. The pattern of
//! each test is named in its text.

mod entry_fixtures;

use std::time::Duration;

use entry_fixtures::{engines, long, ms, profile};
use jujubehook::entry::{
    place, Backlog, Choice, Engine, Heartbeat, Load, Placement, Prefill, TargetKey, View, Work,
};

/// Time that a datagram between two instances takes.
const WAY: Duration = Duration::from_millis(2);

/// Time within which choices become known.
const KNOWN: Duration = Duration::from_millis(10);

/// Milliseconds between two beats while nothing changes.
const BEAT: u128 = 400;

/// Milliseconds until an instance looks again.
const LOOK: u64 = 25;

/// Most reading ahead at an engine that gets a part of a long prompt, and the time for which others' work may be
/// unknown.
const AHEAD: Duration = Duration::from_millis(110);

/// An instance with one long prompt to place.
struct Caller {
    /// The choice that was told to others, until it stands or gives way.
    choice: Option<(Duration, u64, Placement)>,
    /// Time of the next look; none once the prompt was sent.
    look: Option<Duration>,
    prompt: u32,
    sequence: u64,
    view: View,
}

/// Instances and what was sent to the engines.
struct Site {
    /// Beats on their way: time of arrival, sender and content.
    heartbeats: Vec<(Duration, usize, Heartbeat)>,
    callers: Vec<Caller>,
    engines: Vec<Engine>,
    gave_way: usize,
    /// Prompts that will have been read: time, instance and number.
    reads: Vec<(Duration, usize, u64)>,
    /// Parts that were sent: time, engine and reading time.
    sent: Vec<(Duration, TargetKey, Duration)>,
}

impl Site {
    /// Each instance looks for engines `spread` after the one before.
    fn new(prompts: &[u32], spread: Duration) -> Self {
        let caller = |(number, &prompt): (usize, &u32)| Caller {
            choice: None,
            look: Some(ms(100) + spread * number as u32),
            prompt,
            sequence: 0,
            view: View::default(),
        };
        Self {
            heartbeats: Vec::new(),
            callers: prompts.iter().enumerate().map(caller).collect(),
            engines: engines(18),
            gave_way: 0,
            reads: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn run(&mut self, end: Duration) {
        let mut now = Duration::ZERO;
        while now < end {
            self.deliver(now);
            for at in 0..self.callers.len() {
                self.step(at, now);
                self.note_reads(at, now);
                if now.as_millis().is_multiple_of(BEAT) {
                    self.tell(at, now);
                }
            }
            now += ms(1);
        }
    }

    fn deliver(&mut self, now: Duration) {
        let due = |(at, ..): &(Duration, usize, Heartbeat)| *at <= now;
        let (arrived, later) = self.heartbeats.drain(..).partition(due);
        self.heartbeats = later;
        for (_, from, heartbeat) in arrived {
            for (at, caller) in self.callers.iter_mut().enumerate() {
                if at != from {
                    caller.view.receive(&heartbeat, now);
                }
            }
        }
    }

    fn note_reads(&mut self, at: usize, now: Duration) {
        for (_, _, number) in self
            .reads
            .iter()
            .filter(|(end, of, _)| *of == at && *end <= now)
        {
            self.callers[at].view.finish_prefill(*number);
        }
    }

    fn step(&mut self, at: usize, now: Duration) {
        if let Some((since, number, placement)) = self.callers[at].choice.take() {
            if now < since + KNOWN {
                self.callers[at].choice = Some((since, number, placement));
                return;
            }
            if self.callers[at].view.gives_way(number, KNOWN) {
                self.callers[at].view.finish(number);
                self.callers[at].look = Some(now + ms(LOOK));
                self.gave_way += 1;
                self.tell(at, now);
                return;
            }
            self.sent
                .push((now, placement.primary.key(), placement.part_time));
            let helpers = placement.helpers.iter();
            let parts = helpers.map(|helper| (now, helper.target.key(), placement.part_time));
            self.sent.extend(parts);
            let targets = placement.helpers.iter().map(|helper| helper.target.key());
            let targets = targets.chain([placement.primary.key()]);
            let end = targets.map(|key| self.end(key)).max().unwrap_or(now);
            self.reads.push((end, at, number));
            return;
        }
        if self.callers[at].look.is_some_and(|look| look <= now) {
            self.look(at, now);
        }
    }

    fn look(&mut self, at: usize, now: Duration) {
        let caller = &mut self.callers[at];
        caller.look = Some(now + ms(LOOK));
        let loads = caller.view.loads(now);
        let mut engines = self.engines.clone();
        for engine in &mut engines {
            let found = loads.iter().find(|(key, _)| *key == engine.key);
            engine.load = found.map_or(Load::default(), |(_, load)| *load);
        }
        let mut demand = long(caller.prompt);
        demand.objective = ms(3_000).saturating_sub(now);
        let Choice::Place(placement) = place(&demand, &profile(), &engines, at as u64) else {
            return;
        };
        caller.look = None;
        let helpers = placement.helpers.iter();
        let number = caller.view.start(Work {
            background: placement.background,
            primary: placement.primary.key(),
            gap: ms(1_000),
            helpers: helpers
                .map(|helper| (helper.target.key(), helper.reserved))
                .collect(),
            short: false,
            part_time: placement.part_time,
            rank: at as u32 * 7_919 % 97,
            start: now,
            tokens: placement.primary_tokens,
        });
        caller.choice = Some((now, number, placement));
        self.tell(at, now);
    }

    fn tell(&mut self, at: usize, now: Duration) {
        let caller = &mut self.callers[at];
        caller.sequence += 1;
        let heartbeat = Heartbeat {
            incarnation: 1,
            instance: format!("instance-{at}"),
            prefills: caller.view.prefills(now),
            rows: caller.view.rows(),
            sequence: caller.sequence,
            ..Heartbeat::default()
        };
        self.heartbeats.push((now + WAY, at, heartbeat));
    }

    /// Time at which an engine will have read all parts that were sent there.
    fn end(&self, key: TargetKey) -> Duration {
        let parts = self.sent.iter().filter(|(_, target, _)| *target == key);
        parts.fold(Duration::ZERO, |end, (start, _, part)| {
            end.max(*start) + *part
        })
    }

    /// The longest reading that a part found ahead of it at its engine.
    fn most_ahead(&self) -> Duration {
        let mut most = Duration::ZERO;
        for engine in &self.engines {
            let mut end = Duration::ZERO;
            for (start, _, part) in self.sent.iter().filter(|(_, key, _)| *key == engine.key) {
                most = most.max(end.saturating_sub(*start));
                end = end.max(*start) + *part;
            }
        }
        most
    }
}

/// Pattern: a burst of exports at full fleet. Six instances wait for engines and see in the same moment that they are
/// free: no part is sent to an engine that another instance has just given a long part.
#[test]
fn no_engine_is_taken_twice() {
    for spread in [ms(0), ms(1), ms(3), ms(8), ms(20)] {
        let mut site = Site::new(&[220_000; 6], spread);
        site.run(ms(3_000));
        let most = site.most_ahead();
        assert!(most <= AHEAD, "{most:?} ahead, looks {spread:?} apart");
        assert!(!site.sent.is_empty());
    }
}

/// Pattern: a burst of exports at full fleet. Those that give way are not put off for good: all that engines can read in
/// time are sent.
#[test]
fn all_find_their_turn() {
    let mut site = Site::new(&[110_000; 6], ms(1));
    site.run(ms(3_000));
    assert!(site.gave_way > 0, "the choices did not meet");
    let waiting = site.callers.iter().filter(|caller| caller.look.is_some());
    assert_eq!(waiting.count(), 0, "{} parts were sent", site.sent.len());
}

/// A long prompt that the engines 1 and 2 read.
fn work(rank: u32, start: Duration) -> Work {
    Work {
        background: false,
        primary: 1,
        gap: ms(1_000),
        helpers: vec![(2, 0)],
        short: false,
        part_time: ms(400),
        rank,
        start,
        tokens: 1_000,
    }
}

/// Two instances choose the same engine before they know of each other: exactly one choice stands, whatever the delays
/// of the datagrams and the ranks.
#[test]
fn one_choice_stands() {
    let heartbeat = |view: &View, instance: &str, now: Duration| Heartbeat {
        incarnation: 1,
        instance: instance.into(),
        prefills: view.prefills(now),
        sequence: 1,
        ..Heartbeat::default()
    };
    for (there, back, ranks) in (1..=4)
        .flat_map(|there| (1..=4).map(move |back| (there, back)))
        .flat_map(|(there, back)| [(1, 2), (2, 1)].map(|ranks| (there, back, ranks)))
    {
        // The second one chooses before the first one's beat arrives.
        for later in 0..there {
            let (mut one, mut other) = (View::default(), View::default());
            let (at, then) = (ms(100), ms(100 + later));
            let mine = one.start(work(ranks.0, at));
            let theirs = other.start(work(ranks.1, then));
            other.receive(&heartbeat(&one, "one", at), at + ms(there));
            one.receive(&heartbeat(&other, "other", then), then + ms(back));
            let stands = [!one.gives_way(mine, KNOWN), !other.gives_way(theirs, KNOWN)];
            let lower = [ranks.0 < ranks.1, ranks.1 < ranks.0];
            assert_eq!(stands, lower, "{there} there, {back} back, {later} later");
        }
    }
}

/// The datagram about an earlier choice was lost: the choice that is heard of only later stands, whatever the ranks.
#[test]
fn older_choice_stands() {
    let mut view = View::default();
    let number = view.start(work(1, ms(100)));
    let prefill = Prefill {
        age_ms: 60,
        number: 1,
        part_ms: 400,
        rank: 2,
        targets: vec![1],
        ..Prefill::default()
    };
    let heartbeat = Heartbeat {
        instance: "other".into(),
        prefills: vec![prefill],
        sequence: 1,
        ..Heartbeat::default()
    };
    view.receive(&heartbeat, ms(105));
    assert!(view.gives_way(number, KNOWN));
}

/// Two instances that do not know of each other give an engine a part each: it reads one after the other.
#[test]
fn parts_add_up() {
    let mut backlog = Backlog::default();
    backlog.add(ms(100), ms(500), false, false);
    backlog.add(ms(101), ms(500), false, false);
    assert_eq!(backlog.ahead(ms(600)), ms(500));
}

/// A newer part that was read already has taken its time from an older one.
#[test]
fn read_parts_took_time() {
    let mut backlog = Backlog::default();
    backlog.add(ms(0), ms(500), false, false);
    backlog.add(ms(100), ms(500), false, true);
    assert_eq!(backlog.ahead(ms(600)), ms(400));
}

/// An engine that had nothing to read has not read ahead.
#[test]
fn idle_time_is_lost() {
    let mut backlog = Backlog::default();
    backlog.add(ms(0), ms(100), false, true);
    backlog.add(ms(900), ms(300), false, false);
    assert_eq!(backlog.ahead(ms(1_000)), ms(200));
}

/// Late prompts give way: they are not ahead of newer work, but they are still to be read.
#[test]
fn late_prompts_are_behind() {
    let mut backlog = Backlog::default();
    backlog.add(ms(0), ms(400), true, false);
    backlog.add(ms(0), ms(300), false, false);
    assert_eq!(backlog.ahead(ms(100)), ms(200));
    assert_eq!(backlog.background(ms(100)), ms(400));
}
