//! Guards against loads that drift from the work they are made of: work that stays counted after it ended or expired,
//! is counted twice, or is missed. Compares `View::loads` with a computation from scratch on generated sequences.

mod entry_fixtures;
mod loads_reference;

use std::time::Duration;

use entry_fixtures::ms;
use fastrand::Rng;
use jujubehook::entry::permit::Update;
use jujubehook::entry::{Heartbeat, Permit, Prefill, Row, View, Work};
use loads_reference::Reference;

const SEQUENCES: u64 = 40;
const STEPS: usize = 200;

/// Few targets and instances, so that work meets at the same ones.
const TARGETS: u32 = 6;
const PEERS: u64 = 4;

/// A view and its reference, which get the same changes.
struct Pair {
    now: Duration,
    /// Requests of this instance that did not end.
    open: Vec<u64>,
    permits: u64,
    random: Rng,
    reference: Reference,
    sequence: u64,
    view: View,
}

impl Pair {
    fn new(seed: u64) -> Pair {
        Pair {
            now: ms(10_000),
            open: Vec::new(),
            permits: 0,
            random: Rng::with_seed(seed),
            reference: Reference::default(),
            sequence: 10,
            view: View::default(),
        }
    }

    fn step(&mut self) {
        self.now += match self.random.u32(..20) {
            0 => ms(self.random.u64(..3_000)),
            1..=9 => ms(self.random.u64(..60)),
            _ => Duration::ZERO,
        };
        match self.random.u32(..12) {
            0..=2 => self.start(),
            3 => self.finish_prefill(),
            4..=5 => self.finish(),
            6..=7 => self.receive(),
            8..=9 => self.update(),
            10 => self.permit(),
            _ => self.expire(),
        }
    }

    fn start(&mut self) {
        let random = &mut self.random;
        let helpers = (0..random.usize(..3)).map(|_| (random.u32(..TARGETS), random.u32(..900)));
        let work = Work {
            helpers: helpers.collect(),
            background: random.u32(..4) == 0,
            gap: ms(random.u64(..3) * 100),
            held: random.u32(..4) == 0,
            part_time: ms(random.u64(..200)),
            primary: random.u32(..TARGETS),
            rank: random.u32(..),
            short: random.bool(),
            start: self.now,
            tokens: random.u32(..9_000),
        };
        let number = self.view.start(work.clone());
        self.reference.start(number, work);
        self.open.push(number);
    }

    fn finish_prefill(&mut self) {
        if let Some(number) = self.random.choice(self.open.iter().copied()) {
            self.view.finish_prefill(number);
            self.reference.finish_prefill(number);
        }
    }

    fn finish(&mut self) {
        if !self.open.is_empty() {
            let at = self.random.usize(..self.open.len());
            let number = self.open.swap_remove(at);
            self.view.finish(number);
            self.reference.finish(number);
        }
    }

    fn receive(&mut self) {
        let rows = (0..self.random.usize(..5)).map(|_| self.row()).collect();
        let heartbeat = Heartbeat {
            incarnation: self.incarnation(),
            instance: self.random.u64(..PEERS).to_string(),
            prefills: self.prefills(),
            rows,
            sequence: self.sequence(),
            ..Heartbeat::default()
        };
        let is_new = self.view.receive(&heartbeat, self.now);
        assert_eq!(is_new, self.reference.receive(&heartbeat, self.now));
    }

    fn update(&mut self) {
        let update = Update {
            sequence: self.sequence(),
            row: self.row(),
            prefill: self.prefills().into_iter().next(),
            permit: self.random.u64(..=self.permits),
            ended: false,
        };
        let (incarnation, instance) = (self.incarnation(), self.random.u64(..PEERS).to_string());
        let now = self.now;
        self.view.update(&instance, incarnation, &update, now);
        self.reference.update(&instance, incarnation, &update, now);
    }

    fn permit(&mut self) {
        if self.random.u32(..3) == 0 {
            let number = self.random.u64(..=self.permits);
            let is_ended = self.view.end_permit(number);
            assert_eq!(is_ended, self.reference.end_permit(number));
            return;
        }
        self.permits += 1;
        let permit = Permit {
            expires: self.now + ms(300),
            gap: ms(self.random.u64(..3) * 100),
            number: self.permits,
            part_time: ms(self.random.u64(..200)),
            start: self.now,
            target: self.random.u32(..TARGETS),
            tokens: self.random.u32(..9_000),
        };
        self.view.grant(permit.clone());
        self.reference.grant(permit);
    }

    fn expire(&mut self) {
        self.view.expire(self.now);
        self.reference.expire(self.now);
    }

    /// Mostly the first process of an instance, sometimes the next one.
    fn incarnation(&mut self) -> u64 {
        1 + u64::from(self.random.u32(..20) == 0)
    }

    /// Mostly increasing; datagrams may be late or repeated.
    fn sequence(&mut self) -> u64 {
        self.sequence += 1;
        match self.random.u32(..3) {
            0 => self.sequence - self.random.u64(..10),
            _ => self.sequence,
        }
    }

    fn row(&mut self) -> Row {
        let random = &mut self.random;
        // Counts near the limit of their type must not wrap, nor be lost when other work ends.
        let count = |random: &mut Rng| match random.u32(..20) {
            0 => u32::MAX - random.u32(..3),
            _ => random.u32(..4),
        };
        Row {
            gap_ms: random.u32(..3) * 70,
            short: count(random),
            running: count(random),
            target: random.u32(..TARGETS),
            tokens: count(random),
        }
    }

    fn prefills(&mut self) -> Vec<Prefill> {
        let random = &mut self.random;
        let mut prefills = Vec::new();
        for number in 0..6 {
            if random.u32(..3) != 0 {
                continue;
            }
            let targets = (0..random.usize(..4)).map(|_| random.u32(..TARGETS));
            prefills.push(Prefill {
                targets: targets.collect(),
                age_ms: random.u32(..100),
                background: random.u32(..4) == 0,
                number,
                part_ms: random.u32(..200),
                rank: random.u32(..),
                finished: random.u32(..3) == 0,
                held: random.u32(..4) == 0,
            });
        }
        prefills
    }

    /// Compares now and at another time, which may be past the end of permits and instances that did not expire yet, or
    /// before the arrival of the latest work.
    fn compare(&mut self, place: &str) {
        let later = self.now + ms(self.random.u64(..3_000));
        let earlier = self.now.saturating_sub(ms(self.random.u64(..100)));
        let except = self.random.choice(self.open.iter().copied());
        for now in [self.now, later, earlier] {
            let expected = self.reference.loads(None, now);
            assert_eq!(self.view.loads(now), expected, "{place} at {now:?}");
            let expected = self.reference.loads(except, now);
            let loads = self.view.loads_without(except, now);
            assert_eq!(loads, expected, "{place} at {now:?} without {except:?}");
        }
    }
}

/// After each change, the loads are those that a computation from scratch gives.
#[test]
fn loads_match_reference() {
    for seed in 0..SEQUENCES {
        let mut pair = Pair::new(seed);
        for step in 0..STEPS {
            pair.step();
            pair.compare(&format!("seed {seed}, step {step}"));
        }
    }
}

/// When all work has ended or expired, nothing is left of it.
#[test]
fn nothing_stays() {
    for seed in 0..SEQUENCES {
        let mut pair = Pair::new(seed);
        (0..STEPS).for_each(|_| pair.step());
        while !pair.open.is_empty() {
            pair.finish();
        }
        pair.now += ms(10_000);
        pair.expire();
        assert_eq!(pair.view.loads(pair.now), [], "seed {seed}");
        // Work that is hidden only by its time would be seen at an earlier one.
        assert_eq!(pair.view.loads(Duration::ZERO), [], "seed {seed}");
    }
}
