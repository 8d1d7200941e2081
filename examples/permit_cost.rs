//! Measures the time of a decision on an ask at 300 instances and 200 engines, and the sizes of messages.

use std::cell::{Cell, RefCell};
use std::hint::black_box;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubehook::entry::permit::{
    Allocator, Ask, Asker, Envelope, Known, Message, Reply, Slots, Update,
};
use jujubehook::entry::{Engine, Heartbeat, Load, Permit, Prefill, Profile, Row, Target, View};

const INSTANCES: u64 = 300;
const ENGINES: usize = 200;

/// Number of decisions.
const ROUNDS: u64 = 20_000;

/// Time of all decisions.
const NOW: Duration = Duration::from_secs(1);

struct Domain {
    engines: Vec<Engine>,
    last: Cell<Option<Permit>>,
    profile: Profile,
    /// The work of all instances; none if the loads are given, so that only the decision is measured.
    view: Option<RefCell<View>>,
}

impl Slots for Domain {
    fn known(&self, _: &Ask) -> Option<Known> {
        let mut engines = self.engines.clone();
        if let Some(view) = &self.view {
            let loads = view.borrow().loads(NOW);
            for engine in &mut engines {
                let found = loads.binary_search_by_key(&engine.key, |(key, _)| *key);
                engine.load = found.map_or(Load::default(), |at| loads[at].1);
            }
        }
        Some(Known {
            elsewhere: Vec::new(),
            engines,
            profile: self.profile.clone(),
        })
    }

    fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(40 + 2 * INSTANCES)
    }

    fn grant(&self, permit: Permit) {
        if let Some(view) = &self.view {
            view.borrow_mut().grant(permit.clone());
        }
        self.last.set(Some(permit));
    }
}

fn engines() -> Vec<Engine> {
    let engine = |number: usize| {
        let target = Target {
            address: ([127, 0, 0, 1], 8_000).into(),
            cold_until: Duration::ZERO,
            domain: "north".into(),
            draining: false,
            id: format!("engine-{number}").as_str().into(),
            service: "llm".into(),
            slots: 16,
            started_unix_ms: None,
        };
        Engine {
            admits: true,
            key: target.key(),
            load: Load::default(),
            local: true,
            slowdown: 1.0,
            target: Rc::new(target),
        }
    };
    (0..ENGINES).map(engine).collect()
}

/// The heartbeat of an instance with requests at `count` engines, two of them in prefill.
fn heartbeat(instance: u64, engines: &[Engine], count: usize) -> Heartbeat {
    let target = |at: usize| engines[(instance as usize * 7 + at * 13) % engines.len()].key;
    let row = |at| Row {
        gap_ms: 250,
        running: 1,
        short: 1,
        target: target(at),
        tokens: 6_200,
    };
    let mut rows: Vec<Row> = (0..count).map(row).collect();
    rows.sort_by_key(|row| row.target);
    let prefill = |at: usize| Prefill {
        age_ms: 20,
        number: 1_000 + at as u64,
        part_ms: 36,
        targets: vec![target(at)],
        ..Prefill::default()
    };
    Heartbeat {
        domain: "north".into(),
        incarnation: u64::MAX - instance,
        instance: format!("instance-{instance}"),
        prefills: (0..2).map(prefill).collect(),
        processor: 500,
        rows,
        sequence: 100_000,
        ..Heartbeat::default()
    }
}

fn ask(number: u64) -> Ask {
    Ask {
        number,
        service: "llm".into(),
        prompt: 5_000,
        tokens: 6_200,
        gap_ms: 250,
        objective_ms: 300,
        left_ms: 2_000,
        workspace: 77,
        ..Ask::default()
    }
}

/// Times of decisions, each of which grants a slot that is free again before the next one.
fn measure(name: &str, domain: &Domain) {
    let mut allocator = Allocator::new(1);
    let asker = Asker {
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        incarnation: 1,
    };
    let mut times = Vec::new();
    for number in 0..ROUNDS {
        let ask = ask(number);
        let start = Instant::now();
        let answers = black_box(allocator.ask(asker, ask, domain, NOW));
        times.push(start.elapsed());
        assert!(matches!(answers[0].reply, Reply::Grant { .. }));
        if let (Some(view), Some(permit)) = (&domain.view, domain.last.take()) {
            view.borrow_mut().end_permit(permit.number);
        }
    }
    report(name, &mut times);
}

fn report(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let (median, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("{name}: median {median:?}, p99 {p99:?}");
}

fn main() {
    let mut view = View::default();
    let engines = engines();
    for instance in 0..INSTANCES {
        view.receive(&heartbeat(instance, &engines, 5), NOW);
    }
    let profile = Profile {
        context_per_k: Duration::from_nanos(2_130),
        memory_tokens: 405_000,
        pairs_per_m: Duration::from_micros(162),
        read_per_s: 154_000.0,
        slots: 16,
        step: Duration::from_micros(1_310),
        stride: 34,
    };
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            black_box(view.loads(NOW));
            start.elapsed()
        })
        .collect();
    report("View::loads", &mut times);
    let mut loaded = engines.clone();
    for (key, load) in view.loads(NOW) {
        let found = loaded.iter_mut().find(|engine| engine.key == key);
        found.into_iter().for_each(|engine| engine.load = load);
    }
    let given = Domain {
        engines: loaded,
        last: Cell::default(),
        profile: profile.clone(),
        view: None,
    };
    measure("Allocator::ask, loads given", &given);
    let computed = Domain {
        engines: engines.clone(),
        last: Cell::default(),
        profile,
        view: Some(RefCell::new(view)),
    };
    measure("Allocator::ask, loads computed", &computed);
    print_sizes(&engines);
}

fn print_sizes(engines: &[Engine]) {
    let envelope = |message| Envelope {
        incarnation: u64::MAX,
        instance: "instance-17".into(),
        messages: vec![message],
    };
    let size = |message| rmp_serde::to_vec(&envelope(message)).map_or(0, |bytes| bytes.len() + 2);
    let number = u64::MAX / 3;
    let beat = heartbeat(17, engines, 5);
    let grant = Reply::Grant {
        permit: number,
        target: engines[0].key,
        wait_ms: 80,
    };
    let update = Update {
        sequence: 100_000,
        row: beat.rows[0],
        prefill: Some(beat.prefills[0].clone()),
        permit: number,
        ended: false,
    };
    println!("ask: {} bytes", size(Message::Ask(ask(number))));
    println!("grant: {} bytes", size(Message::Reply(number, grant)));
    println!("update: {} bytes", size(Message::Update(update)));
    for count in [5, 40] {
        let beat = heartbeat(17, engines, count);
        let bytes = rmp_serde::to_vec(&beat).map_or(0, |bytes| bytes.len() + 2);
        println!("heartbeat with {count} rows: {bytes} bytes");
    }
}
